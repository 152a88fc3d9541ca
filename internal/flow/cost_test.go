package flow_test

import (
	"bufio"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/balancer"
	"bergamotstall/internal/standin/fabric"
	"bergamotstall/internal/table"
)

const (
	farSideTable = "FLOW_FAR_SIDE_TABLE"
	farSideCert  = "FLOW_FAR_SIDE_CERT"
	farSideFlows = "FLOW_FAR_SIDE_FLOWS"
	allOpenLine  = "all flows open"
)

// BenchmarkOpenFlows measures what open feeds cost their agent: heap and stack bytes and
// goroutines per flow, and CPU time per new flow. Fabric, balancers and callers run in a
// second process, the far side, so that their cost isn't counted.
func BenchmarkOpenFlows(b *testing.B) {
	for _, flows := range []int{100, 300, 1000} {
		b.Run(strconv.Itoa(flows), func(b *testing.B) {
			for b.Loop() {
				openFlows(b, flows)
			}
		})
	}
}

func openFlows(b *testing.B, flows int) {
	r := newRig(b)
	r.fabric.Close() // the fabric runs in the other process
	for i := range 3 {
		r.table.Balancers = append(r.table.Balancers, table.Balancer{
			Name: fmt.Sprint(i), Tunnel: netip.AddrPortFrom(r.ip(), 19000).String(),
		})
	}
	agent := r.addAgent(1, defaultService, "", http.HandlerFunc(quietFeed))
	t := r.nextRevision()
	r.applyAgents(t)
	memory, goroutines, processor := usage()
	far, stop := r.startFarSide(t, flows)
	defer stop()
	for far.Scan() && far.Text() != allOpenLine {
	}
	r.is.Equal(agent.Flows(), flows)
	time.Sleep(500 * time.Millisecond) // until the handshakes' state is released
	memory2, goroutines2, processor2 := usage()
	n := float64(flows)
	b.ReportMetric(float64(memory2-memory)/n, "bytes/flow")
	b.ReportMetric(float64(goroutines2-goroutines)/n, "goroutines/flow")
	b.ReportMetric(float64((processor2-processor).Microseconds())/n, "cpu-us/new-flow")
}

// quietFeed sends one line and waits for the caller to disconnect.
func quietFeed(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "open\n")
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// usage returns this process's heap and stack bytes in use, its number of goroutines, and
// its CPU time so far.
func usage() (bytes int64, goroutines int, processor time.Duration) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var rusage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &rusage)
	processor = time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	return int64(m.HeapInuse + m.StackInuse), runtime.NumGoroutine(), processor
}

// startFarSide starts this test binary again to run TestFarSide.
func (r *rig) startFarSide(t *table.Table, flows int) (out *bufio.Scanner, stop func()) {
	data, err := t.MarshalMsg(nil)
	r.is.NoErr(err)
	c := exec.Command(os.Args[0], "-test.run=^TestFarSide$")
	c.Env = append(os.Environ(),
		farSideTable+"="+base64.StdEncoding.EncodeToString(data),
		farSideCert+"="+base64.StdEncoding.EncodeToString(r.cert.Certificate[0]),
		farSideFlows+"="+strconv.Itoa(flows))
	c.Stderr = os.Stderr
	stdin, err := c.StdinPipe()
	r.is.NoErr(err)
	stdout, err := c.StdoutPipe()
	r.is.NoErr(err)
	r.is.NoErr(c.Start())
	return bufio.NewScanner(stdout), func() {
		_ = stdin.Close()
		_ = c.Wait()
	}
}

// TestFarSide is the second process of BenchmarkOpenFlows. It runs fabric, balancers and
// callers until its standard input closes. Without its environment variables it does
// nothing.
func TestFarSide(t *testing.T) {
	if os.Getenv(farSideTable) == "" {
		return
	}
	is := is.New(t)
	r := &rig{TB: t, is: is, fabric: fabric.New(1), pool: x509.NewCertPool()}
	defer r.fabric.Close()
	_, err := r.table.UnmarshalMsg(fromEnv(is, farSideTable))
	is.NoErr(err)
	cert, err := x509.ParseCertificate(fromEnv(is, farSideCert))
	is.NoErr(err)
	r.pool.AddCert(cert)
	flows, err := strconv.Atoi(os.Getenv(farSideFlows))
	is.NoErr(err)
	is.NoErr(r.fabric.Listen(netip.MustParseAddrPort(r.table.Services[0].Address)))
	for _, x := range r.table.Balancers {
		tunnel := netip.MustParseAddrPort(x.Tunnel)
		f, err := balancer.NewForwarder(balancer.ForwarderConfig{Bind: tunnel.Addr(), Tunnel: tunnel, Log: discardLog()})
		is.NoErr(err)
		defer f.Close()
		is.NoErr(f.Apply(&r.table))
		r.fabric.AddBalancer(tunnel.Addr())
	}
	for range flows {
		c := r.caller(defaultService)
		resp, err := c.Get(c.url + "/feed")
		is.NoErr(err)
		defer resp.Body.Close()
	}
	fmt.Println(allOpenLine)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func fromEnv(is *is.I, name string) []byte {
	out, err := base64.StdEncoding.DecodeString(os.Getenv(name))
	is.NoErr(err)
	return out
}
