package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/forward"
)

// Guards against an answer that hides a balancer which didn't answer, or the reason why a
// target gets nothing.
func TestExplainWhere(t *testing.T) {
	chosen, other := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("service") != "198.18.0.1:443" || r.FormValue("client") != anyClient {
			http.Error(w, "unexpected question", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(forward.Explanation{
			Version: 7, Verdict: forward.Placed, Agent: chosen,
			Candidates: []forward.Candidate{{Agent: chosen, Chosen: true, Preferred: true, Fresh: true}, {Agent: other, Unfit: forward.Leaving}},
		})
	}))
	defer server.Close()
	at := strings.TrimPrefix(server.URL, "http://")
	for _, c := range []struct {
		args []string
		code int
		out  []string
	}{
		{[]string{"-where", "198.18.0.1:443", at}, exitOK, []string{"placed at 10.0.0.1:7000, by version 7", "->", "outdated  leaving"}},
		{[]string{"-where", "198.18.0.1:443", "-json", at}, exitOK, []string{`"verdict": "placed"`, `"unfit": "leaving"`}},
		{[]string{"-where", "198.18.0.1:443", at, "127.0.0.1:1"}, exitUnreachable, []string{"placed at", "127.0.0.1:1:"}},
		{[]string{"-where", "nowhere", at}, exitUnreachable, []string{"400 Bad Request: unexpected question"}},
		{[]string{"-where", "198.18.0.1:443"}, exitUsage, []string{"usage"}},
	} {
		is := is.New(t)
		var out bytes.Buffer
		is.Equal(dispatch(context.Background(), append([]string{"explain"}, c.args...), &out, &out), c.code)
		for _, text := range c.out {
			is.True(strings.Contains(out.String(), text))
		}
	}
}
