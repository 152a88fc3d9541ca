package events

import "github.com/sirupsen/logrus"

// Events of pass-through flows and of the roles on the users' platform, 700 to 799.
var (
	PassFlowDecided     = define(700, logrus.InfoLevel, "balancer decided on a flow")
	PassFlowRefused     = define(701, logrus.InfoLevel, "agent decided on a flow or its target")
	PassTableInForce    = define(702, logrus.InfoLevel, "table of pass-through routes in force")
	NodeListed          = define(703, logrus.InfoLevel, "node listed")
	NodeDelisted        = define(704, logrus.InfoLevel, "node no longer listed")
	ReadinessChanged    = define(705, logrus.InfoLevel, "readiness changed")
	AnnouncementRefused = define(706, logrus.WarnLevel, "announcement names no target to use")
	DefinitionDecided   = define(707, logrus.InfoLevel, "definition decided on")
	DefinitionRead      = define(708, logrus.DebugLevel, "definition read")
	SettingsReloaded    = define(709, logrus.InfoLevel, "settings reloaded")
	SettingsKept        = define(710, logrus.WarnLevel, "settings can't be reloaded, the ones before stay")
	LogLinesDropped     = define(711, logrus.WarnLevel, "log lines dropped")
	ReplicaReopened     = define(712, logrus.WarnLevel, "replica opened again after a failure")
	MessageTraffic      = define(714, logrus.InfoLevel, "messages sent and received")
	FolderAbandoned     = define(713, logrus.WarnLevel, "folder of a removed replica set aside")
	EvacuationDecided   = define(715, logrus.InfoLevel, "evacuation order decided on")
	EvacuationsInForce  = define(716, logrus.InfoLevel, "evacuations in force")
)
