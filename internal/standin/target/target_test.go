package target

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func start(t *testing.T, f Faults) (*Target, *http.Client) {
	t.Helper()
	x, err := New(Config{Service: "desk", Host: "h1", Address: "127.0.0.1:0", FeedInterval: time.Millisecond, Faults: f})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Kill)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return x, client
}

func post(t *testing.T, c *http.Client, x *Target, id, body string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+x.Address()+"/submit", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(RequestIDHeader, id)
	return c.Do(req)
}

func TestDownloadChecksumTrailer(t *testing.T) {
	is := is.New(t)
	x, c := start(t, Faults{})
	resp, err := c.Get("http://" + x.Address() + "/download?bytes=200000&seed=7")
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	sum := sha256.Sum256(data)
	is.Equal(len(data), 200000)
	is.Equal(resp.Trailer.Get(SumTrailer), hex.EncodeToString(sum[:]))
	is.Equal(ContentSum("desk", 7, 200000), hex.EncodeToString(sum[:]))
	is.True(ContentSum("archive", 7, 200000) != hex.EncodeToString(sum[:]))
}

// Guards against a ledger that can't distinguish a request that never ran from one that
// ran but whose answer was lost, for each point at which the connection is dropped.
func TestCutPointsInLedger(t *testing.T) {
	for _, c := range []struct {
		cut     Cut
		runs    int
		answers bool
	}{{CutNever, 1, true}, {CutBefore, 0, false}, {CutDuring, 0, false}, {CutAfter, 1, false}} {
		t.Run("cut "+string(c.cut), func(t *testing.T) {
			is := is.New(t)
			x, client := start(t, Faults{Cut: c.cut})
			resp, err := post(t, client, x, "a", "revision 3")
			if resp != nil {
				resp.Body.Close()
			}
			is.Equal(err == nil, c.answers)
			is.Equal(x.LedgerEntry("a").Seen, 1)
			is.Equal(x.LedgerEntry("a").Runs, c.runs)
		})
	}
}

func TestFaultsSetOverHTTPAndFeedEndsOnStop(t *testing.T) {
	is := is.New(t)
	x, c := start(t, Faults{})
	resp, err := c.Get("http://" + x.Address() + "/feed")
	is.NoErr(err)
	defer resp.Body.Close()

	body, err := json.Marshal(Faults{Shed: ShedAlways, Health: HealthAlwaysOK})
	is.NoErr(err)
	set, err := c.Post("http://"+x.Address()+"/_faults", "application/json", bytes.NewReader(body))
	is.NoErr(err)
	set.Body.Close()
	refused, err := post(t, c, x, "b", "x")
	is.NoErr(err)
	refused.Body.Close()
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	health, err := c.Get("http://" + x.Address() + "/health")
	is.NoErr(err)
	health.Body.Close()
	is.Equal(health.StatusCode, http.StatusOK)

	is.NoErr(x.Stop(context.Background()))
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err) // the feed ends without an error
	is.True(strings.HasSuffix(string(data), "event: end\ndata: end\n\n"))
}
