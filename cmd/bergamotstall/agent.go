package main

import (
	"context"
	"io"

	"github.com/sirupsen/logrus"

	"bergamotstall/agent"
	"bergamotstall/balancer"
	"bergamotstall/platform"
)

func runAgent(ctx context.Context, args []string, out, errOut io.Writer) int {
	s := new(agent.Settings)
	return serverRole{
		name:          "agent",
		settings:      s,
		newRunner:     func(log logrus.FieldLogger) (runner, error) { return agent.New(*s, log) },
		runOnPlatform: platform.RunAgent,
	}.run(ctx, args, out, errOut)
}

func runBalancer(ctx context.Context, args []string, out, errOut io.Writer) int {
	s := new(balancer.Settings)
	return serverRole{
		name:          "balancer",
		settings:      s,
		newRunner:     func(log logrus.FieldLogger) (runner, error) { return balancer.New(*s, log) },
		runOnPlatform: platform.RunBalancer,
	}.run(ctx, args, out, errOut)
}
