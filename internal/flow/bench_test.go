package flow_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstall/internal/flow"
	"bergamotstall/internal/table"
)

// changeTables makes a new table every 30 ms, with other weights and one target draining
// at a time. Agents get it at once, each balancer up to 200 ms later.
func changeTables(r *rig, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(11, 12))
	var late sync.WaitGroup
	defer late.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		for j := range r.table.Targets {
			r.table.Targets[j].Weight = 50 + random.Uint32N(100)
			r.table.Targets[j].State = table.Active
		}
		if i%2 == 0 {
			r.table.Targets[i/2%len(r.table.Targets)].State = table.Draining
		}
		t := r.nextRevision()
		r.applyAgents(t)
		for _, b := range r.balancers {
			wait := time.Duration(random.Int64N(int64(200 * time.Millisecond)))
			late.Go(func() {
				time.Sleep(wait)
				_ = b.Apply(t)
			})
		}
	}
}

// BenchmarkHandshakesWhileTablesChange opens flows while tables change and reach
// balancers at different times, with and without deflection, the forwarding of first
// packets to another agent. A broken handshake failed; a slow one took over 150 ms,
// which means a retransmission; a split one opened flows at two agents.
func BenchmarkHandshakesWhileTablesChange(b *testing.B) {
	for name, deflect := range map[string]bool{"with-deflection": true, "without": false} {
		b.Run(name, func(b *testing.B) { handshakes(b, deflect) })
	}
}

func handshakes(b *testing.B, deflect bool) {
	r := newRig(b)
	for i := range 3 {
		r.addBalancer(fmt.Sprintf("balancer-%d", i))
	}
	for n := table.AgentNumber(1); n <= 4; n++ {
		r.startAgent(n, defaultService, "", targetHandler(n), func(e *flow.Endpoint) {
			if !deflect {
				e.AcceptFirstPackets()
			}
		})
	}
	r.apply()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		changeTables(r, stop)
	}()
	var broken, slow atomic.Int64
	var mu sync.Mutex
	var times []time.Duration
	var callers sync.WaitGroup
	left := atomic.Int64{}
	left.Store(int64(b.N))
	b.ResetTimer()
	for range 6 {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
				c := r.caller(defaultService)
				start := time.Now()
				_, _, err := c.get("/")
				took := time.Since(start)
				_ = c.transport.Close()
				if err != nil {
					broken.Add(1)
				}
				if took > 150*time.Millisecond {
					slow.Add(1)
				}
				mu.Lock()
				times = append(times, took)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	close(stop)
	<-stopped
	slices.Sort(times)
	b.ReportMetric(float64(broken.Load()), "broken")
	b.ReportMetric(float64(slow.Load()), "slow")
	b.ReportMetric(float64(r.sum("flow_opened")-int64(b.N)), "split")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

// BenchmarkDownloadsThroughBalancerDeath runs downloads through three balancers, one of
// which dies after a third of the run; the fabric stops routing to it 300 ms later. The
// longest download shows how long the death delays a flow.
func BenchmarkDownloadsThroughBalancerDeath(b *testing.B) {
	const callers, period, notice = 8, time.Second, 300 * time.Millisecond
	var all []time.Duration
	var broken atomic.Int64
	for b.Loop() {
		r := standardRig(b, 2, targetHandler)
		var mu sync.Mutex
		var running sync.WaitGroup
		end := time.Now().Add(3 * period)
		for range callers {
			c := r.caller(defaultService)
			running.Go(func() {
				for time.Now().Before(end) {
					start := time.Now()
					_, _, err := c.get("/drawing?size=300000&pause=1ms")
					if err != nil {
						broken.Add(1)
						return
					}
					mu.Lock()
					all = append(all, time.Since(start))
					mu.Unlock()
				}
			})
		}
		time.Sleep(period)
		dead := r.killBalancer("balancer-0")
		time.Sleep(notice)
		r.fabric.RemoveBalancer(dead.ip)
		r.apply()
		running.Wait()
	}
	slices.Sort(all)
	b.ReportMetric(float64(broken.Load()), "broken")
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(all[len(all)-1].Milliseconds()), "max-ms")
}

// BenchmarkDownload transfers 32 MB over one flow, and over each of four concurrent flows,
// from one agent through three balancers. Callers and fabric run in the same process.
func BenchmarkDownload(b *testing.B) {
	const size = 32 << 20
	for _, flows := range []int{1, 4} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			r := standardRig(b, 1, targetHandler)
			var callers []*caller
			for range flows {
				callers = append(callers, r.caller(defaultService))
			}
			b.SetBytes(int64(flows * size))
			for b.Loop() {
				var running sync.WaitGroup
				for _, c := range callers {
					running.Go(func() {
						if body, _, err := c.get(fmt.Sprintf("/drawing?size=%d", size)); err != nil || len(body) != size {
							b.Errorf("%d bytes: %v", len(body), err)
						}
					})
				}
				running.Wait()
			}
		})
	}
}
