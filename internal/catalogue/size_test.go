package catalogue

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bergamotstall/internal/distribution"
)

// clusterSizes are numbers of hosts and services; the last is the size that the system is
// designed for.
var clusterSizes = []struct{ hosts, services int }{{3_000, 525}, {6_000, 1_050}, {12_000, 2_100}}

// newFleet returns a catalogue with hosts spread evenly over services.
func newFleet(hosts, services int) *harness {
	var d Definition
	for i := range services {
		d.Services = append(d.Services, ServiceSpec{
			Name: fmt.Sprintf("service-%04d", i), Address: fmt.Sprintf("10.%d.%d.1:8443", i/256, i%256),
		})
	}
	peak := Preset{Name: "peak"}
	for _, s := range d.Services {
		peak.Services = append(peak.Services, PresetService{
			Service: s.Name, DataCentres: []DataCentreWeight{{Name: "accra-a", Weight: 50}},
		})
	}
	d.Presets = []Preset{{Name: "ordinary"}, peak}
	h := newHarness()
	h.do(apply("first", d))
	for i := range hosts {
		cmd := announce(fmt.Sprintf("service-%04d", i%services), i, 1)
		a := &cmd.AnnounceAgent.Announcement
		a.Tunnel = fmt.Sprintf("10.%d.%d.2:9000", i/256, i%256)
		a.Peer = fmt.Sprintf("10.%d.%d.2:9001", i/256, i%256)
		h.do(cmd)
		h.log, h.answers = nil, nil
	}
	return h
}

func forClusterSizes(b *testing.B, run func(b *testing.B, h *harness)) {
	for _, s := range clusterSizes {
		h := newFleet(s.hosts, s.services)
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) { run(b, h) })
	}
}

// BenchmarkTable measures building the table: time, allocations, encoded size and
// retained memory.
func BenchmarkTable(b *testing.B) {
	forClusterSizes(b, func(b *testing.B, h *harness) {
		b.ReportAllocs()
		for b.Loop() {
			h.cachedTable = nil
			h.Table()
		}
		data, err := h.Table().MarshalMsg(nil)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "encoded-B")
		h.cachedTable = nil
		before := heapInUse()
		kept := h.Table()
		b.ReportMetric(float64(heapInUse()-before), "kept-B")
		runtime.KeepAlive(kept)
	})
}

// BenchmarkTableAfterUpgrade measures the table after a rolling upgrade that restarts
// every agent within one key window, so that it also contains the old numbers.
func BenchmarkTableAfterUpgrade(b *testing.B) {
	forClusterSizes(b, func(b *testing.B, h *harness) {
		hosts := len(h.state.Agents)
		for i := range hosts {
			a := announcementOf(h, i)
			a.Incarnation = 2
			h.do(Command{AnnounceAgent: &AnnounceAgent{Announcement: a}})
			h.log, h.answers = nil, nil
		}
		for b.Loop() {
			h.cachedTable = nil
			h.Table()
		}
		data, err := h.Table().MarshalMsg(nil)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "encoded-B")
		b.ReportMetric(float64(len(h.Table().Targets)-hosts), "retired")
		waiting := 0
		for _, s := range h.Table().Services {
			if s.KeysFromMS > 0 {
				waiting++
			}
		}
		b.ReportMetric(float64(waiting), "services-without-keys")
	})
}

// BenchmarkState measures the memory of a replica's state, and the size and cost of its
// snapshot.
func BenchmarkState(b *testing.B) {
	for _, s := range clusterSizes {
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) {
			before := heapInUse()
			h := newFleet(s.hosts, s.services)
			kept := heapInUse() - before
			var size int
			for b.Loop() {
				data, err := h.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "snapshot-B")
			b.ReportMetric(float64(kept), "kept-B")
			runtime.KeepAlive(h)
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkApply measures a command of each common kind.
func BenchmarkApply(b *testing.B) {
	forClusterSizes(b, func(b *testing.B, h *harness) {
		n := 0
		for _, k := range []struct {
			name string
			next func() Command
		}{
			{"switch", func() Command {
				return switchTo(fmt.Sprint(b.Name(), n), []string{"peak", "ordinary"}[n%2], 0)
			}},
			{"reconnect", func() Command { return Command{AnnounceAgent: &AnnounceAgent{Announcement: announcementOf(h, n)}} }},
			{"restart", func() Command {
				a := announcementOf(h, n)
				a.Incarnation = uint64(n + 2)
				return Command{AnnounceAgent: &AnnounceAgent{Announcement: a}}
			}},
		} {
			b.Run(k.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					n++
					h.do(k.next())
					h.log, h.answers = nil, nil
				}
			})
		}
	})
}

// BenchmarkPeriodicReads measures the reads that the control role makes four times a
// second, on a leader of nine control VMs that takes over the subscribers of another.
func BenchmarkPeriodicReads(b *testing.B) {
	forClusterSizes(b, func(b *testing.B, h *harness) {
		for i := range h.state.Agents {
			h.state.Agents[i].Via = fmt.Sprint("control-", i%9)
		}
		now := time.UnixMilli(h.nowMS)
		for b.Loop() {
			h.LiveVia(func(vm string) bool { return vm == "control-0" || vm == "control-1" })
			h.RemovableSuspects(now)
			h.SweepDue(now)
		}
	})
}

// announcementOf returns a new announcement of an existing agent.
func announcementOf(h *harness, n int) distribution.Announcement {
	a := &h.state.Agents[n%len(h.state.Agents)]
	return distribution.Announcement{
		Name: a.Name, Incarnation: a.Incarnation, Attachment: a.Attachment + 1, DataCentre: a.DataCentre,
		Tunnel: a.Tunnel, Peer: a.Peer, Service: h.serviceName(a.Service), Host: a.Host,
		Slots: a.Slots, Connections: a.Connections,
	}
}
