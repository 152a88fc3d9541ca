package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/explain"
	"bergamotstall/internal/passthrough/balancer"
	"bergamotstall/internal/passthrough/forward"
)

const (
	// anyClient stands for a caller that isn't named. Preferences among targets differ by
	// caller.
	anyClient = "0.0.0.0:0"
	// whereTimeout is how long a balancer may take to answer.
	whereTimeout = 2 * time.Second
	// maxAnswerBytes bounds a balancer's answer: some 250 bytes for each agent.
	maxAnswerBytes = 8 << 20
)

// question asks where a new flow would go.
type question struct {
	service, client string
	asJSON          bool
}

// answer is a balancer's answer, or why there is none.
type answer struct {
	Balancer    string               `json:"balancer"`
	Explanation *forward.Explanation `json:"explanation,omitempty"`
	Error       string               `json:"error,omitempty"`
}

// explainWhere asks balancers and prints their answers. The exit code tells whether all have
// answered.
func (c *invocation) explainWhere(ctx context.Context, q question, balancers []string) int {
	code := exitOK
	answers := make([]answer, len(balancers))
	for i, at := range balancers {
		x, err := ask(ctx, at, q)
		answers[i] = answer{Balancer: at, Explanation: x}
		if err != nil {
			answers[i].Error = err.Error()
			code = exitUnreachable
		}
	}
	if q.asJSON {
		c.printJSON(answers)
		return code
	}
	for _, a := range answers {
		if a.Error != "" {
			fmt.Fprintln(c.errOut, a.Balancer+":", a.Error)
			continue
		}
		fmt.Fprintln(c.out, a.Balancer+":")
		explain.WriteWhere(c.out, a.Explanation)
	}
	return code
}

func ask(ctx context.Context, at string, q question) (*forward.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	query := url.Values{"service": {q.service}, "client": {q.client}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+balancer.ExplainPath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "question")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "question")
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "answer")
	case res.StatusCode != http.StatusOK:
		return nil, errors.Errorf("%s: %s", res.Status, strings.TrimSpace(string(body)))
	}
	var x forward.Explanation
	if err := json.Unmarshal(body, &x); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	return &x, nil
}
