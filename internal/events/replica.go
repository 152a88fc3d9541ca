package events

import "github.com/sirupsen/logrus"

// Events of control replicas and their journals, 500 to 599.
var (
	ReplicaStarted        = define(500, logrus.InfoLevel, "replica started")
	ReplicaStopped        = define(501, logrus.InfoLevel, "replica stopped")
	ReplicaFailed         = define(502, logrus.ErrorLevel, "replica failed and stopped")
	ClusterBootstrapped   = define(503, logrus.WarnLevel, "new cluster bootstrapped")
	BootstrapSkipped      = define(504, logrus.WarnLevel, "bootstrap skipped, a peer already has a cluster")
	LeaderChanged         = define(505, logrus.InfoLevel, "leader changed")
	ReplicaMembersChanged = define(506, logrus.InfoLevel, "membership changed")
	JoinWaits             = define(507, logrus.WarnLevel, "new replica is waiting to replace a member")
	SnapshotTaken         = define(508, logrus.InfoLevel, "snapshot taken")
	SnapshotInstalled     = define(509, logrus.InfoLevel, "snapshot installed")
	DiskSlow              = define(510, logrus.WarnLevel, "disk write or sync is slow")
	ReplicaPeerRefused    = define(511, logrus.WarnLevel, "peer connection refused")
	ReplicaPeerLost       = define(512, logrus.InfoLevel, "peer unreachable")
	ReplicaPeerReached    = define(513, logrus.InfoLevel, "peer connected")
	MemberAdmitted        = define(514, logrus.InfoLevel, "replica added without an operator")
	MemberEvicted         = define(515, logrus.WarnLevel, "silent member removed without an operator")
)
