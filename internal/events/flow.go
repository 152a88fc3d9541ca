package events

import "github.com/sirupsen/logrus"

// Events of the flows at an agent, 300 to 389.
var (
	FlowAgentNumber  = define(300, logrus.InfoLevel, "agent number assigned")
	FlowTableRefused = define(301, logrus.ErrorLevel, "table refused by agent")
	FlowKeysOpened   = define(302, logrus.InfoLevel, "key generation ready for new flows")
	FlowDraining     = define(303, logrus.InfoLevel, "flow drain started")
	FlowGoAway       = define(304, logrus.InfoLevel, "GOAWAY sent on open flows")
	FlowsCut         = define(305, logrus.WarnLevel, "flows closed when the stop's grace ended")
	FlowAgentDead    = define(307, logrus.WarnLevel, "agent found dead; its flows are reset")
	FlowDirectFailed = define(306, logrus.WarnLevel, "service address can't be opened for direct answers")
)
