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

// callerFlags are the flags of the commands that act as a caller: call and load.
type callerFlags struct {
	flags   *flag.FlagSet
	ca      string
	timeout time.Duration
	json    bool
}

func (c *invocation) newCallerFlags() *callerFlags {
	f := &callerFlags{flags: flag.NewFlagSet("bergamotctl "+c.command.name, flag.ContinueOnError)}
	f.flags.SetOutput(c.errOut)
	f.flags.StringVar(&f.ca, "ca", "", "`file` with the certificate that the service's is checked against, PEM; empty trusts the system's")
	f.flags.DurationVar(&f.timeout, "timeout", 30*time.Second, "give up after this `time`")
	f.flags.BoolVar(&f.json, "json", false, "print JSON")
	return f
}

// parse parses the flags, after which argCount arguments must follow. If the command ends
// here, because of -h or wrong usage, it returns the exit code and true.
func (f *callerFlags) parse(c *invocation, argCount int) (int, bool) {
	switch err := f.flags.Parse(c.args); {
	case err == flag.ErrHelp:
		return exitOK, true
	case err != nil:
		return exitUsage, true
	}
	if f.flags.NArg() == argCount {
		return 0, false
	}
	fmt.Fprintf(c.errOut, "usage: bergamotctl %s [flags] %s\n", c.command.name, c.command.args)
	return exitUsage, true
}

// tlsConfig returns the client's TLS configuration for HTTP/3, with the authorities in the
// file of -ca, or the system's if there is none.
func (f *callerFlags) tlsConfig() (*tls.Config, error) {
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

// runCall sends one HTTP/3 request, prints the response, and returns the exit code.
func runCall(ctx context.Context, c *invocation) int {
	f := c.newCallerFlags()
	method := f.flags.String("method", http.MethodGet, "HTTP `method`")
	body := f.flags.String("body", "", "request `body`")
	key := f.flags.String("key", "", "Idempotency-Key: a submission sent again under its `key` runs at most once")
	if code, done := f.parse(c, 1); done {
		return code
	}
	config, err := f.tlsConfig()
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
	r.GetBody = nil // keeps the library from sending a submission again by itself
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
	return c.printResponse(resp)
}

// outcomeHeaders are the response headers in which the load balancer, not the target, says
// what became of a request.
var outcomeHeaders = []string{"Bergamotstall-Not-Run", "Bergamotstall-Unknown", "Retry-After"}

// printResponse writes the body to the output, and the status and outcomeHeaders to the
// error output. A status of 400 or more is exitRefused.
func (c *invocation) printResponse(resp *http.Response) int {
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
