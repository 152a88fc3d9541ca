package membership

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// link delays what control VMs send to nodes. Its zero value adds no delay.
type link struct {
	// latency is how long each byte takes to arrive.
	latency time.Duration
	// bytesPerSecond bounds the throughput of each stream; 0 means no bound.
	bytesPerSecond int
	// bufferBytes bounds what each stream holds in transit; 0 means no bound.
	bufferBytes int
	// sent counts the bytes that the VMs have sent to nodes.
	sent atomic.Int64
}

const (
	// segmentBytes is how much a link carries at once.
	segmentBytes = 500
	// maxSegments is more than any test has in transit.
	maxSegments = 1 << 16
)

// segment is data that becomes available at the far end at a time.
type segment struct {
	data []byte
	at   time.Time
}

// attach puts the link in front of VMs. Nodes that use the returned seeds reach the VMs
// over the link only.
func (l *link) attach(t *testing.T, all []*vm) (seeds []*vm) {
	t.Helper()
	subnet := 60 + nextSubnet.Load()
	var ips []string
	for i, v := range all {
		ip := fmt.Sprintf("127.%d.2.%d", subnet, i+1)
		l.listen(t, ip, v.ip)
		ips = append(ips, ip)
		seeds = append(seeds, &vm{ip: ip})
	}
	for _, v := range all {
		v.controls = ips
	}
	return seeds
}

func (l *link) listen(t *testing.T, ip, vmIP string) {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, streamPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			node, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(node, fmt.Sprintf("%s:%d", vmIP, streamPort))
		}
	}()
}

// carry relays one stream until either end closes it.
func (l *link) carry(node net.Conn, address string) {
	defer node.Close()
	vm, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer vm.Close()
	go func() {
		_, _ = io.Copy(vm, node)
		_ = vm.Close()
	}()
	segments := make(chan segment, maxSegments)
	if l.bufferBytes > 0 {
		segments = make(chan segment, l.bufferBytes/segmentBytes)
		_ = vm.(*net.TCPConn).SetReadBuffer(l.bufferBytes)
	}
	go func() {
		defer close(segments)
		for {
			data := make([]byte, segmentBytes)
			n, err := vm.Read(data)
			if err != nil {
				return
			}
			l.sent.Add(int64(n))
			segments <- segment{data[:n], time.Now().Add(l.latency)}
		}
	}()
	for s := range segments {
		time.Sleep(time.Until(s.at))
		if l.bytesPerSecond > 0 {
			time.Sleep(time.Duration(len(s.data)) * time.Second / time.Duration(l.bytesPerSecond))
		}
		if _, err := node.Write(s.data); err != nil {
			return
		}
	}
}
