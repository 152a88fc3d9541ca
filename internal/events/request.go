package events

import "github.com/sirupsen/logrus"

// Events of the requests at an agent, and of its idempotency keys, 400 to 499.
var (
	TargetUnhealthy                   = define(400, logrus.WarnLevel, "target doesn't answer")
	TargetHealthy                     = define(401, logrus.InfoLevel, "target answers again")
	HealthEndpointContradictsRequests = define(402, logrus.WarnLevel, "health endpoint contradicts requests")
	AgentConnectionRefused            = define(403, logrus.WarnLevel, "connection from another agent refused")
	ClaimsHandedOver                  = define(404, logrus.InfoLevel, "idempotency records handed over")
	ClaimsNotHandedOver               = define(405, logrus.WarnLevel, "idempotency records not handed over to an agent")
	ClaimsKeyLimitReached             = define(406, logrus.WarnLevel, "no room for more idempotency keys")
	ClaimsTableTooOld                 = define(407, logrus.WarnLevel, "table too old for idempotency keys")
)
