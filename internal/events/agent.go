package events

import "github.com/sirupsen/logrus"

// Events of the agent process as a whole, 390 to 399.
var (
	AgentStoppedWithWorkLeft = define(390, logrus.WarnLevel, "agent stopped with flows open")
)
