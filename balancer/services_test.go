package balancer

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

// manyServices is a table with so many services, each on an address of its own
// in 127.0.0.0/8, and one target for each.
func manyServices(services int, tunnel netip.AddrPort) *table.Table {
	const port = 9443
	t := &table.Table{Revision: 1, Keys: []table.KeySet{keySet()}}
	for i := range services {
		id := table.ServiceID(i + 1)
		ip := netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(1 + i%250)})
		t.Services = append(t.Services, table.Service{ID: id, Name: fmt.Sprintf("service-%d", i), Address: netip.AddrPortFrom(ip, port).String()})
		t.Targets = append(t.Targets, table.Target{Agent: table.AgentNumber(id), Service: id, Tunnel: tunnel.String(), Weight: 100, State: table.Active})
	}
	return t
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// perService opens so many services without traffic, and returns the memory and
// the goroutines that each costs.
func perService(tb testing.TB, services int) (bytes, goroutines float64) {
	is := is.New(tb)
	f, _ := newForwarder(tb, 1)
	before, running := inUse(), runtime.NumGoroutine()
	is.NoErr(f.Apply(manyServices(services, freePort(is))))
	opened := runtime.NumGoroutine() - running
	return float64(inUse()-before) / float64(services), float64(opened) / float64(services)
}

// BenchmarkIdleServices is the slope of a balancer's memory with its addresses.
func BenchmarkIdleServices(b *testing.B) {
	for _, services := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			var bytes, goroutines float64
			for b.Loop() {
				bytes, goroutines = perService(b, services)
			}
			b.ReportMetric(bytes, "bytes/service")
			b.ReportMetric(goroutines, "goroutines/service")
		})
	}
}

// A balancer's addresses are nearly all quiet at any moment. Each must cost far
// less than the memory for a batch of packets, or 2,100 of them take more than a
// thin VM has.
func TestQuietAddressIsCheap(t *testing.T) {
	is := is.New(t)
	bytes, goroutines := perService(t, 200)
	is.Equal(goroutines, 1.0)
	const batch = 2 * batchSize * bufferSize
	if bytes > batch/3 {
		t.Errorf("%.0f bytes for a quiet address, a third of a batch's is %d", bytes, batch/3)
	}
}

// The callers of an address that was quiet, then busy, then quiet for longer
// than its worker keeps its batch get every packet through.
func TestQuietBusyQuietSocketLosesNothing(t *testing.T) {
	is := is.New(t)
	sockets, err := openSockets(netip.MustParseAddrPort("127.0.0.1:0"), 1)
	is.NoErr(err)
	defer closeSockets(sockets)
	sender, err := net.DialUDP("udp", nil, sockets[0].LocalAddr().(*net.UDPAddr))
	is.NoErr(err)
	defer sender.Close()
	r := newReader()
	for _, burst := range []int{1, 100, 1, 1} {
		for i := range burst {
			_, err := sender.Write([]byte{byte(i)})
			is.NoErr(err)
		}
		for next := 0; next < burst; {
			messages, ok := r.read(sockets[0])
			is.True(ok)
			for _, m := range messages {
				is.Equal(m.Buffers[0][0], byte(next))
				next++
			}
		}
		is.True(r.batch != nil) // busy
		r.passed(sockets[0])
		r.passed(sockets[0])
		is.True(r.batch == nil) // quiet again
	}
}

// BenchmarkTableMemory is the slope of a balancer's memory with the hosts of its
// table, for one service address.
func BenchmarkTableMemory(b *testing.B) {
	for _, hosts := range []int{120, 1200, 12000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			is := is.New(b)
			var bytes float64
			for b.Loop() {
				f, _ := newForwarder(b, 1)
				before := inUse()
				is.NoErr(f.Apply(manyTargets(hosts, freePort(is))))
				bytes = float64(inUse()-before) / float64(hosts)
			}
			b.ReportMetric(bytes, "bytes/host")
		})
	}
}

// manyTargets is a table with one service and so many targets for it.
func manyTargets(hosts int, tunnel netip.AddrPort) *table.Table {
	t := manyServices(1, tunnel)
	t.Targets = nil
	for i := range hosts {
		t.Targets = append(t.Targets, table.Target{
			Agent: table.AgentNumber(i + 1), Service: 1, Host: fmt.Sprintf("host-%d", i), DataCentre: "accra-a",
			Tunnel: tunnel.String(), Weight: 100, State: table.Active,
		})
	}
	return t
}
