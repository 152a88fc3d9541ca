package membership

import (
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/framing"
)

// agentStream is an agent's side of a stream.
type agentStream struct {
	t    *testing.T
	raw  *net.TCPConn
	conn *framing.Conn
}

// openStream opens a stream, and waits until the VM serves it.
func openStream(t *testing.T, v *vm, h Hello) agentStream {
	t.Helper()
	raw, err := net.Dial("tcp", net.JoinHostPort(v.ip, strconv.Itoa(streamPort)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	x := agentStream{t, raw.(*net.TCPConn), framing.NewConn(idleTimeoutConn{raw}, maxFrameBytes, writeTimeout)}
	_, err = x.conn.Write(kindHello, &h)
	is.New(t).NoErr(err)
	_, err = x.conn.Read()
	is.New(t).NoErr(err)
	return x
}

// leave ends the stream as an agent does that moves to another VM, and waits until the VM
// has closed it.
func (x agentStream) leave() {
	x.t.Helper()
	_, err := x.conn.Write(kindRetire, &Retire{Moved: true})
	is.New(x.t).NoErr(err)
	is.New(x.t).NoErr(x.raw.CloseWrite())
	for err == nil {
		_, err = x.conn.Read()
	}
}

// Guards against an agent that stays attached to a control VM but isn't on its list,
// because it had left the VM and returned, and the VM learned of the leaving last.
func TestReturnedAgentStaysListed(t *testing.T) {
	for _, c := range []struct {
		name    string
		numbers [3]uint64
	}{{"numbered streams", [3]uint64{1, 2, 3}}, {"a build that numbers no streams", [3]uint64{}}, {"a restart of the agent", [3]uint64{7, 8, 1}}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := startVMs(t, 1)[0]
			agent := Node{Role: Agent, Address: "10.0.0.1:1", Process: 1}
			listed := func() bool { listed, _ := v.lists(agent.Address); return listed }
			left := openStream(t, v, Hello{Node: agent, Stream: c.numbers[0]})
			returned := openStream(t, v, Hello{Node: agent, Stream: c.numbers[1]})
			left.leave()
			is.True(listed())
			if c.numbers[2] == 1 {
				agent.Process++
			}
			again := openStream(t, v, Hello{Node: agent, Stream: c.numbers[2]})
			returned.leave()
			is.True(listed())
			again.leave()
			is.True(!listed())
		})
	}
}

// Guards against a control VM that lists an agent by the hello of a stream that came after
// the agent had left over a newer one.
func TestLateHelloListsNobody(t *testing.T) {
	is := is.New(t)
	v := startVMs(t, 1)[0]
	agent := Node{Role: Agent, Address: "10.0.0.1:1", Process: 1}
	first := openStream(t, v, Hello{Node: agent, Stream: 1})
	openStream(t, v, Hello{Node: agent, Stream: 3}).leave()
	listed, _ := v.lists(agent.Address)
	is.True(!listed)
	openStream(t, v, Hello{Node: agent, Stream: 2})
	listed, _ = v.lists(agent.Address)
	is.True(!listed)
	first.leave()
}
