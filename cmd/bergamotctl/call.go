package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go/http3"
)

// callerFlags are what the callers' commands take.
type callerFlags struct {
	flags   *flag.FlagSet
	ca      string
	timeout time.Duration
	json    bool
}

func (c *call) caller() *callerFlags {
	f := &callerFlags{flags: flag.NewFlagSet("bergamotctl "+c.command.name, flag.ContinueOnError)}
	f.flags.SetOutput(c.errOut)
	f.flags.StringVar(&f.ca, "ca", "", "`file` with the certificate that the service's is checked against, PEM; empty trusts the system's")
	f.flags.DurationVar(&f.timeout, "timeout", 30*time.Second, "give up after this `time`")
	f.flags.BoolVar(&f.json, "json", false, "print JSON")
	return f
}

// parse returns the exit code and true where the command ends here.
func (f *callerFlags) parse(c *call, arguments int) (int, bool) {
	switch err := f.flags.Parse(c.args); {
	case err == flag.ErrHelp:
		return exitOK, true
	case err != nil:
		return exitUsage, true
	}
	if f.flags.NArg() == arguments {
		return 0, false
	}
	fmt.Fprintf(c.errOut, "usage: bergamotctl %s [flags] %s\n", c.command.name, c.command.args)
	return exitUsage, true
}

func (f *callerFlags) tls() (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{http3.NextProtoH3}}
	if f.ca == "" {
		return cfg, nil
	}
	data, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, errors.Wrap(err, "-ca")
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("-ca: no certificate in %s", f.ca)
	}
	return cfg, nil
}

// runCall sends one HTTP/3 request and prints the answer.
func runCall(ctx context.Context, c *call) int {
	f := c.caller()
	method := f.flags.String("method", http.MethodGet, "HTTP `method`")
	body := f.flags.String("body", "", "request `body`")
	key := f.flags.String("key", "", "Idempotency-Key: a submission sent again under its `key` runs at most once")
	if code, done := f.parse(c, 1); done {
		return code
	}
	config, err := f.tls()
	if err != nil {
		fmt.Fprintln(c.errOut, "bergamotctl call:", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, *method, f.flags.Arg(0), strings.NewReader(*body))
	if err != nil {
		fmt.Fprintln(c.errOut, "bergamotctl call:", err)
		return exitUsage
	}
	r.GetBody = nil // the library must not send a submission again by itself
	if *key != "" {
		r.Header.Set("Idempotency-Key", *key)
	}
	transport := &http3.Transport{TLSClientConfig: config}
	defer transport.Close()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		fmt.Fprintln(c.errOut, "bergamotctl call: no answer:", err)
		return exitUnreachable
	}
	defer resp.Body.Close()
	return c.printAnswer(resp)
}

// outcomeHeaders are what the system itself says about a request.
var outcomeHeaders = []string{"Bergamotstall-Not-Run", "Bergamotstall-Unknown", "Retry-After"}

func (c *call) printAnswer(resp *http.Response) int {
	fmt.Fprintln(c.errOut, resp.Proto, resp.Status)
	for _, name := range outcomeHeaders {
		if v := resp.Header.Get(name); v != "" {
			fmt.Fprintf(c.errOut, "%s: %s\n", name, v)
		}
	}
	if _, err := io.Copy(c.out, resp.Body); err != nil {
		fmt.Fprintln(c.errOut, "bergamotctl call: answer broke off:", err)
		return exitUnreachable
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return exitRefused
	}
	return exitOK
}
