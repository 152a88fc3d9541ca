// Package settings loads and validates YAML files strictly: an unknown field, a wrong
// type or a value that isn't allowed is an error with file, line and field, and the
// process doesn't start. Otherwise a misspelt field would be ignored, and noticed only
// when the safeguard that it configures is needed.
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

// Problem is one value that isn't allowed in a decoded file.
type Problem struct {
	// Path is the path of the field in the file, as in "control[0].address".
	Path string
	// What describes the error, as in "missing", or is the value itself if it is out of
	// range.
	What string
	// Allowed says which values are allowed.
	Allowed string
}

// Validator is a type of settings that validates its own values.
type Validator interface {
	// Problems returns the values that aren't allowed, or nil if there are none.
	Problems() []Problem
}

// Error is a file that can't be read, decoded or used. Lines has a line for each problem.
type Error struct {
	File  string
	Lines []string
}

func (e *Error) Error() string { return strings.Join(e.Lines, "\n") }

// Load decodes the file at path into out and validates it. Its errors are *Error.
func Load(path string, out Validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Lines: []string{fmt.Sprintf("%s: %v", path, errors.Unwrap(err))}}
	}
	return Decode(path, data, out)
}

// Decode decodes data into out and validates it. The name of the file is used in errors
// only, which are *Error.
func Decode(file string, data []byte, out Validator) error {
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(out); err != nil {
		return &Error{File: file, Lines: []string{describeDecodeError(file, data, err)}}
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

// describeDecodeError returns an error of the YAML library as one line of text that
// begins with file and line.
func describeDecodeError(file string, data []byte, err error) string {
	var yamlErr yaml.Error
	if value, ok := invalidDuration(err); ok {
		line, field := findScalar(data, value)
		return fmt.Sprintf("%s:%d: %s: %q is no duration (allowed: a number with a unit, as in 500ms, 10s or 24h)", file, line, field, value)
	}
	if !errors.As(err, &yamlErr) || yamlErr.GetToken() == nil {
		return fmt.Sprintf("%s:1: %v (allowed: one YAML mapping)", file, err)
	}
	tok := yamlErr.GetToken()
	return fmt.Sprintf("%s:%d: %s: %s (allowed: see the examples directory)", file, tok.Position.Line, tok.Value, yamlErr.GetMessage())
}

// invalidDuration returns the value that time.ParseDuration didn't accept, if err is its
// error. The YAML library returns that error without a position.
func invalidDuration(err error) (string, bool) {
	text := err.Error()
	if !strings.HasPrefix(text, "time: ") || !strings.HasSuffix(text, `"`) {
		return "", false
	}
	quote := strings.LastIndex(text[:len(text)-1], `"`)
	if quote < 0 {
		return "", false
	}
	return text[quote+1 : len(text)-1], true
}

// findScalar returns the line and the field of the first scalar with the given text.
func findScalar(data []byte, value string) (line int, field string) {
	for _, tok := range lexer.Tokenize(string(data)) {
		if tok.Value != value || tok.Prev == nil || tok.Prev.Type != token.MappingValueType {
			continue
		}
		return tok.Position.Line, tok.Prev.Prev.Value
	}
	return 1, "duration"
}

// lineOf returns the line of a field. For a field that is missing it is the line of the
// innermost enclosing field that the file has, or 1.
func lineOf(tree *ast.File, field string) int {
	for field != "" && tree != nil {
		if path, err := yaml.PathString("$." + field); err == nil {
			if node, err := path.FilterFile(tree); err == nil && node != nil && node.GetToken() != nil {
				return node.GetToken().Position.Line
			}
		}
		end := strings.LastIndexAny(field, ".[")
		if end < 0 {
			break
		}
		field = field[:end]
	}
	return 1
}

// Checker collects problems. Each of its methods, except Add and Problems, validates one
// field and adds a problem if the value isn't allowed. The zero value is ready to use.
type Checker struct {
	problems []Problem
}

// Problems returns the problems found so far.
func (c *Checker) Problems() []Problem { return c.problems }

// Add adds a problem that no other method covers.
func (c *Checker) Add(path, what, allowed string) {
	c.problems = append(c.problems, Problem{Path: path, What: what, Allowed: allowed})
}

// Required requires a text that isn't empty.
func (c *Checker) Required(path, value string) {
	if value == "" {
		c.Add(path, "missing", "a text that isn't empty")
	}
}

// Address requires "ip:port" with a port from 1 to 65535.
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

// IP requires an IPv4 or IPv6 address.
func (c *Checker) IP(path, value string) {
	if net.ParseIP(value) == nil {
		c.Add(path, fmt.Sprintf("%q is no IP number", value), "an IPv4 or IPv6 number")
	}
}

// Range requires a number from low to high.
func (c *Checker) Range(path string, value, low, high int) {
	if value < low || value > high {
		c.Add(path, fmt.Sprintf("%d", value), fmt.Sprintf("%d to %d", low, high))
	}
}

// Duration requires a duration from low to high.
func (c *Checker) Duration(path string, value, low, high time.Duration) {
	if value < low || value > high {
		c.Add(path, value.String(), fmt.Sprintf("%v to %v", low, high))
	}
}

// File requires the path of a file that exists.
func (c *Checker) File(path, value string) {
	if value == "" {
		c.Add(path, "missing", "the path of a file")
		return
	}
	if _, err := os.Stat(value); err != nil {
		c.Add(path, fmt.Sprintf("%q can't be read", value), "the path of a file that exists")
	}
}
