package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// operator plays the operator of PROTOCOL.md.
type operator struct {
	d      *deployment
	record *record
	client http.Client
}

func newOperator(d *deployment, r *record) *operator {
	return &operator{d: d, record: r, client: http.Client{Timeout: time.Second}}
}

// definition returns a valid desired state with the given version.
func definition(version int) []byte {
	type object map[string]any
	body, _ := json.Marshal(object{
		"version": version,
		"routes": []object{{
			"name": "r-a3hwrr6", "host": "127.198.0.1", "pathPrefix": "/8443/", "routeType": "idempotent",
			"timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "service": "huvo11a", "maxAttempts": 2,
		}},
		"services": []object{{"name": "huvo11a", "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return body
}

// call sends one request to a core machine; status 0 means no response.
func (o *operator) call(method string, n int, body []byte) (status int, answer []byte) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+o.d.control(n)+"/api/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := o.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	answer, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// put sends a desired state to one machine after the other until it is acknowledged.
func (o *operator) put(version int, within time.Duration, machines ...int) bool {
	body := definition(version)
	for end := time.Now().Add(within); time.Now().Before(end); {
		for _, n := range machines {
			status, answer := o.call(http.MethodPut, n, body)
			o.record.printf("PUT version %d to %s: %d %s", version, name(n), status, short(answer))
			if status == http.StatusOK {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return false
}

// read asks the machines in turn for the desired state, until it is found to have the given
// version or more, or the time is over. It returns the newest version read, 0 if none came.
func (o *operator) read(want int, within time.Duration, machines ...int) int {
	newest := 0
	last := map[int]string{}
	for end := time.Now().Add(within); time.Now().Before(end) && newest < want; {
		for _, n := range machines {
			status, answer := o.call(http.MethodGet, n, nil)
			if text := fmt.Sprintf("%d %s", status, short(answer)); last[n] != text {
				last[n] = text
				o.record.printf("GET from %s: %s", name(n), text)
			}
			var d struct{ Version int }
			if status == http.StatusOK && json.Unmarshal(answer, &d) == nil {
				newest = max(newest, d.Version)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return newest
}

func short(body []byte) string {
	if len(body) > 90 {
		return string(body[:90]) + "..."
	}
	return string(body)
}
