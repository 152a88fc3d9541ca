package replica

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestSingleReplicaKeepsCommandsAcrossRestarts(t *testing.T) {
	is := is.New(t)
	m := newMember(t, newNetwork(), "a")
	m.cfg.Bootstrap = true
	m.start()
	mustPropose(t, m, "one")
	is.NoErr(m.Close())
	m.start()
	mustPropose(t, m, "two")
	requireCommands(t, []*member{m}, []string{"one", "two"})
}

func TestThreeReplicasAgree(t *testing.T) {
	members := startThree(t, nil)
	var want []string
	for i := range 30 {
		command := fmt.Sprint("command ", i)
		mustPropose(t, members[i%3], command)
		want = append(want, command)
	}
	requireCommands(t, members, want)
}
