// Package settings reads a role's YAML settings strictly: an unknown field, a
// wrong type or an impossible value is an error with file, line and field, and
// the process doesn't start. A misspelt field that was ignored would show only
// when the safeguard it sets is needed.
package settings

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Problem is one impossible value in a decoded file.
type Problem struct {
	// Path is the field, as in "control[0].address".
	Path string
	// What is wrong with it.
	What string
	// Allowed says which values the field takes.
	Allowed string
}

// Checked is a settings type that can judge its own values.
type Checked interface {
	// Problems returns what is wrong, nothing where all is well.
	Problems() []Problem
}

// Error is a refused file. Its text has a line for each problem.
type Error struct {
	File  string
	Lines []string
}

func (e *Error) Error() string { return strings.Join(e.Lines, "\n") }

// Load reads the file at path into out and checks it.
func Load(path string, out Checked) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Lines: []string{fmt.Sprintf("%s: %v", path, errors.Unwrap(err))}}
	}
	return Decode(path, data, out)
}

// Decode reads data, which came from the named file, into out and checks it.
func Decode(file string, data []byte, out Checked) error {
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(out); err != nil {
		return &Error{File: file, Lines: []string{decodeLine(file, data, err)}}
	}
	problems := out.Problems()
	if len(problems) == 0 {
		return nil
	}
	tree, _ := parser.ParseBytes(data, 0)
	e := &Error{File: file}
	for _, p := range problems {
		e.Lines = append(e.Lines, fmt.Sprintf("%s:%d: %s: %s (allowed: %s)", file, lineOf(tree, p.Path), p.Path, p.What, p.Allowed))
	}
	return e
}

// decodeLine turns the YAML library's error into one line with file and line.
func decodeLine(file string, data []byte, err error) string {
	var at yaml.Error
	if value, ok := badDuration(err); ok {
		line, field := whereIs(data, value)
		return fmt.Sprintf("%s:%d: %s: %q is no duration (allowed: a number with a unit, as in 500ms, 10s or 24h)", file, line, field, value)
	}
	if !errors.As(err, &at) || at.GetToken() == nil {
		return fmt.Sprintf("%s:1: %v (allowed: one YAML mapping)", file, err)
	}
	tok := at.GetToken()
	return fmt.Sprintf("%s:%d: %s: %s (allowed: see the examples directory)", file, tok.Position.Line, tok.Value, at.GetMessage())
}

// badDuration returns the text that time.ParseDuration refused. The YAML library
// passes that error on without a position.
func badDuration(err error) (string, bool) {
	text := err.Error()
	if !strings.HasPrefix(text, "time: ") || !strings.HasSuffix(text, `"`) {
		return "", false
	}
	at := strings.LastIndex(text[:len(text)-1], `"`)
	if at < 0 {
		return "", false
	}
	return text[at+1 : len(text)-1], true
}

// whereIs finds the line and field of the first scalar with the given text.
func whereIs(data []byte, value string) (line int, field string) {
	for _, tok := range lexer.Tokenize(string(data)) {
		if tok.Value != value || tok.Prev == nil || tok.Prev.Type != token.MappingValueType {
			continue
		}
		return tok.Position.Line, tok.Prev.Prev.Value
	}
	return 1, "duration"
}

// lineOf finds the line of a field; a field that is missing has the line of the
// nearest one that encloses it.
func lineOf(tree *ast.File, field string) int {
	for field != "" && tree != nil {
		if path, err := yaml.PathString("$." + field); err == nil {
			if node, err := path.FilterFile(tree); err == nil && node != nil && node.GetToken() != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 1
}

// Checker gathers problems; its methods each judge one field.
type Checker struct {
	found []Problem
}

// Problems returns what was gathered.
func (c *Checker) Problems() []Problem { return c.found }

// Add reports a problem of any other kind.
func (c *Checker) Add(path, what, allowed string) {
	c.found = append(c.found, Problem{Path: path, What: what, Allowed: allowed})
}

// Required reports an empty text.
func (c *Checker) Required(path, value string) {
	if value == "" {
		c.Add(path, "missing", "a text that isn't empty")
	}
}

// Address reports anything but "ip:port" with a port from 1 to 65535.
func (c *Checker) Address(path, value string) {
	const allowed = "ip:port, port 1 to 65535"
	if value == "" {
		c.Add(path, "missing", allowed)
		return
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.Add(path, fmt.Sprintf("%q is no address", value), allowed)
	}
}

// IP reports anything but an IP number.
func (c *Checker) IP(path, value string) {
	if net.ParseIP(value) == nil {
		c.Add(path, fmt.Sprintf("%q is no IP number", value), "an IPv4 or IPv6 number")
	}
}

// Range reports a number outside low to high.
func (c *Checker) Range(path string, value, low, high int) {
	if value < low || value > high {
		c.Add(path, fmt.Sprintf("%d", value), fmt.Sprintf("%d to %d", low, high))
	}
}

// Duration reports a duration outside low to high.
func (c *Checker) Duration(path string, value, low, high time.Duration) {
	if value < low || value > high {
		c.Add(path, value.String(), fmt.Sprintf("%v to %v", low, high))
	}
}

// File reports a path at which no file can be read.
func (c *Checker) File(path, value string) {
	if value == "" {
		c.Add(path, "missing", "the path of a file")
		return
	}
	if _, err := os.Stat(value); err != nil {
		c.Add(path, fmt.Sprintf("%q can't be read", value), "the path of a file that exists")
	}
}
