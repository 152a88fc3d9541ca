package events

import "github.com/sirupsen/logrus"

// Events of the flows at an agent, 300 to 389.
var (
	FlowAgentNumber  = define(300, logrus.InfoLevel, "agent number assigned")
	FlowTableRefused = define(301, logrus.ErrorLevel, "table refused by flows")
	FlowKeysOpened   = define(302, logrus.InfoLevel, "key generation opened for flows")
	FlowDraining     = define(303, logrus.InfoLevel, "drain of flows begun")
	FlowGoAway       = define(304, logrus.InfoLevel, "open flows told to go away")
	FlowsCut         = define(305, logrus.WarnLevel, "flows cut at the end of a stop")
	FlowAgentDead    = define(307, logrus.WarnLevel, "agent found dead; its flows are reset")
	FlowDirectFailed = define(306, logrus.WarnLevel, "service address can't be opened for direct answers")
)
