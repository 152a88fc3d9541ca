package flow_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

// drawing returns content that no shift or mix-up leaves intact.
func drawing(size int) []byte {
	out := make([]byte, size)
	r := rand.New(rand.NewPCG(7, uint64(size)))
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	return out
}

// archiveHandler serves drawings of ?size= bytes under /drawing and its number.
func archiveHandler(number table.AgentNumber) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Agent", strconv.Itoa(int(number)))
		size, err := strconv.Atoi(r.URL.Query().Get("size"))
		if err != nil {
			_, _ = fmt.Fprintf(w, "agent %d", number)
			return
		}
		_, _ = w.Write(drawing(size))
	})
}

// A caller's download is whole although each of its packets crosses a balancer
// picked at random, and every flow stays with the one agent it opened at.
func TestDownloadsAreWholeWhenPacketsAreSprayed(t *testing.T) {
	is := is.New(t)
	r := standard(t, 2, archiveHandler)
	const size = 3 << 20
	want := sha256.Sum256(drawing(size))
	var callers sync.WaitGroup
	for range 4 {
		c := r.caller(desk)
		callers.Go(func() {
			body, first, err := c.get("/drawing?size=" + strconv.Itoa(size))
			if err != nil || sha256.Sum256(body) != want {
				t.Errorf("download of %d bytes: %v", len(body), err)
			}
			again, agent, err := c.get("/")
			if err != nil || agent != first || !bytes.Equal(again, []byte("agent "+first)) {
				t.Errorf("flow moved from agent %s to %s: %v", first, agent, err)
			}
		})
	}
	callers.Wait()
	for name, b := range r.balancers {
		is.True(b.metrics.Value("balancer_forward_named") > 100)             // every balancer carried the flows
		is.Equal(b.metrics.Value("balancer_forward_drop_foreign"), int64(0)) // name
		_ = name
	}
}
