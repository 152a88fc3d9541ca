package events

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

var row = regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \| ([^|]+) \| ([^|]+) \|$`)

// Guards against a page that lacks an event, has another text for it, or lists an event
// that no code logs: an operator who looks up a number would be misled.
func TestCatalogueAndPageAgree(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)

	onPage := map[int]string{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.Atoi(m[1])
		is.NoErr(err)
		onPage[n] = m[2]
	}
	for _, e := range All() {
		text, ok := onPage[e.Number]
		if !ok {
			t.Errorf("event %d (%s) is not in docs/EVENTS.md", e.Number, e.Text)
			continue
		}
		is.Equal(text, e.Text)
		delete(onPage, e.Number)
	}
	for n := range onPage {
		t.Errorf("docs/EVENTS.md has event %d, which no code logs", n)
	}
}
