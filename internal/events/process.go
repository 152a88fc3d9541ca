package events

import "github.com/sirupsen/logrus"

// Events of the process of any role, 100 to 199.
var (
	ProcessStarted  = define(100, logrus.InfoLevel, "process started")
	ProcessStopping = define(101, logrus.InfoLevel, "graceful stop started")
	ProcessStopped  = define(102, logrus.InfoLevel, "process stopped")
	SettingsRefused = define(103, logrus.ErrorLevel, "settings refused")
)
