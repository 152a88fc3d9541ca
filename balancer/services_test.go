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

// manyServices returns a table with the given number of services, each with one target and
// its own address in 127.0.0.0/8.
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

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// perService opens the given number of services without traffic and returns the memory, in
// bytes, and the goroutines for each service.
func perService(tb testing.TB, services int) (bytes, goroutines float64) {
	is := is.New(tb)
	f, _ := newForwarder(tb, 1)
	before, running := memoryInUse(), runtime.NumGoroutine()
	is.NoErr(f.Apply(manyServices(services, freePort(is))))
	opened := runtime.NumGoroutine() - running
	return float64(memoryInUse()-before) / float64(services), float64(opened) / float64(services)
}

// BenchmarkIdleServices measures a balancer's memory for each service address.
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

// Guards against batch memory for idle addresses. At any time nearly all addresses of a
// balancer are idle, and batch memory for 2,100 of them is more than a small VM has.
func TestIdleAddressUsesLittleMemory(t *testing.T) {
	is := is.New(t)
	bytes, goroutines := perService(t, 200)
	is.Equal(goroutines, 1.0)
	const batch = 2 * batchSize * bufferSize
	if bytes > batch/3 {
		t.Errorf("an idle address takes %.0f bytes, want at most %d, a third of its batch memory", bytes, batch/3)
	}
}

// Guards against lost packets when a socket goes from idle to busy and back, and its reader
// gets and returns batch memory.
func TestReaderLosesNoPacketsBetweenIdleAndBusy(t *testing.T) {
	is := is.New(t)
	sockets, err := openSockets(netip.MustParseAddrPort("127.0.0.1:0"), 1)
	is.NoErr(err)
	defer closeSockets(sockets)
	sender, err := net.DialUDP("udp", nil, sockets[0].LocalAddr().(*net.UDPAddr))
	is.NoErr(err)
	defer sender.Close()
	r := newBatchReader()
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
		r.deadlineExceeded(sockets[0])
		r.deadlineExceeded(sockets[0])
		is.True(r.batch == nil) // idle again
	}
}

// BenchmarkTableMemory measures a balancer's memory for each host in the table, with one
// service address.
func BenchmarkTableMemory(b *testing.B) {
	for _, hosts := range []int{120, 1200, 12000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			is := is.New(b)
			var bytes float64
			for b.Loop() {
				f, _ := newForwarder(b, 1)
				before := memoryInUse()
				is.NoErr(f.Apply(manyTargets(hosts, freePort(is))))
				bytes = float64(memoryInUse()-before) / float64(hosts)
			}
			b.ReportMetric(bytes, "bytes/host")
		})
	}
}

// manyTargets returns a table with one service and a target on each of the given number of
// hosts.
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
