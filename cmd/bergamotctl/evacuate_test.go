package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against output or exit codes that don't tell operators and scripts whether a data
// centre is evacuated.
func TestEvacuate(t *testing.T) {
	var asked []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.Method+" "+r.URL.Path)
		switch {
		case strings.HasSuffix(r.URL.Path, "/bad"):
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte(`{"error":"bad name"}`))
		case r.Method == http.MethodGet:
			_, _ = w.Write([]byte(`[{"zone":"accra-a","since":"2026-01-02T03:04:05Z","revision":1}]`))
		}
	}))
	defer server.Close()
	control := strings.TrimPrefix(server.URL, "http://")
	for _, x := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"-control", control, "accra-a"}, exitOK, "accra-a is evacuated: its targets get no new flows\n"},
		{[]string{"-control", control, "-withdraw", "accra-a"}, exitOK, "accra-a takes new flows again\n"},
		{[]string{"-control", control}, exitOK, "accra-a  evacuated since 2026-01-02T03:04:05Z\n"},
		{[]string{"-control", control, "bad"}, exitRefused, ""},
		{[]string{"-control", "127.0.0.1:1", "-timeout", "50ms", "accra-a"}, exitUnreachable, ""},
		{[]string{"accra-a"}, exitUsage, ""},
		{[]string{"-control", control, "-withdraw"}, exitUsage, ""},
	} {
		is := is.New(t)
		var out, errOut bytes.Buffer
		code := dispatch(t.Context(), append([]string{"evacuate"}, x.args...), &out, &errOut)
		is.Equal(code, x.code)
		is.Equal(out.String(), x.out)
		is.Equal(errOut.Len() > 0, x.code != exitOK)
	}
	is.New(t).Equal(asked[:2], []string{"POST /api/evacuations/accra-a", "DELETE /api/evacuations/accra-a"})
}
