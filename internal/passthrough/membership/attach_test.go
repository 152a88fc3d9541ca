package membership

import (
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/route"
)

// BenchmarkAttach reports how long nodes, a third of them balancers, take to get their
// table from one VM.
func BenchmarkAttach(b *testing.B) {
	v := &vm{ip: "127.99.1.1", store: route.NewReplicatedStore(), flows: flowlog.NewStore()}
	v.start(b)
	d := &route.Definition{Version: 1, Services: []route.Service{{Name: "desk"}}}
	for n := range 245 {
		d.Routes = append(d.Routes, route.Route{
			IP: [4]byte{198, 18, byte(n >> 8), byte(n)}, Port: 443, TimeoutMS: 1000, Backends: []route.Backend{{Service: "desk", Weight: 1}},
		})
	}
	command, err := route.Command(d)
	if err != nil {
		b.Fatal(err)
	}
	v.store.Apply(1, command)
	for _, nodes := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			for range b.N {
				attachFleet(b, v, nodes)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*nodes), "us/node")
		})
	}
}

// attachFleet attaches nodes and waits until each has its table.
func attachFleet(b *testing.B, v *vm, nodes int) {
	b.Helper()
	var conns []*framing.Conn
	for n := range nodes {
		raw, err := net.Dial("tcp", net.JoinHostPort(v.ip, strconv.Itoa(streamPort)))
		if err != nil {
			b.Fatal(err)
		}
		defer raw.Close()
		conn := framing.NewConn(idleTimeoutConn{raw}, maxFrameBytes, writeTimeout)
		role := Agent
		if n%3 == 0 {
			role = Balancer
		}
		h := Hello{Node: Node{Role: role, Address: fmt.Sprintf("10.0.%d.%d:1", n>>8, n&255), Zone: "a", Process: 1}, Heartbeat: Heartbeat{WantTables: true}}
		if _, err := conn.Write(kindHello, &h); err != nil {
			b.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		awaitTable(b, conn)
	}
	time.Sleep(time.Millisecond)
}

// awaitTable returns the next update that holds a table.
func awaitTable(b testing.TB, conn *framing.Conn) Update {
	b.Helper()
	for {
		f, err := conn.Read()
		if err != nil {
			b.Fatal(err)
		}
		var u Update
		if err := f.Decode(&u); err != nil {
			b.Fatal(err)
		}
		if u.Table != nil {
			return u
		}
	}
}
