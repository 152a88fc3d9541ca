package events

import "github.com/sirupsen/logrus"

// Events of the balancer role, 200 to 299.
var (
	BalancerTableRefused  = define(200, logrus.ErrorLevel, "table refused by balancer")
	BalancerServiceOpened = define(201, logrus.InfoLevel, "service address opened")
	BalancerServiceClosed = define(202, logrus.InfoLevel, "service address closed")
	BalancerServiceFailed = define(203, logrus.ErrorLevel, "service address can't be opened")
	BalancerTableInForce  = define(204, logrus.InfoLevel, "table in force at balancer")
)
