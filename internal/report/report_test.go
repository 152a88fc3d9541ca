package report

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/check"
	"bergamotstall/internal/loadgen"
)

// Guards against a report without its page, its plots, or the marks and the imbalance of
// the run.
func TestWriteMakesPageAndPlots(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "run")
	recorder := loadgen.NewRecorder()
	recorder.Mark("switch to peak")
	page := Page{
		Title: "Trial", Machine: "test", Summary: recorder.Report(),
		Seconds: []loadgen.Second{{At: 0, Broken: 1}, {At: 1}},
		Marks:   append(recorder.Marks(), loadgen.Mark{At: time.Second, Name: "drain desk-1"}),
		Shares:  []check.Share{{Service: "desk", Host: "desk-1", Runs: 3}, {Service: "desk", Host: "desk-2", Runs: 1}},
	}
	is.NoErr(Write(folder, page))
	text, err := os.ReadFile(filepath.Join(folder, "report.md"))
	is.NoErr(err)
	is.True(strings.Contains(string(text), "| desk | 2 | 1.500 | 0.500 |"))
	is.True(strings.Contains(string(text), "drain desk-1"))
	for _, name := range []string{latenciesFile, failuresFile, sharesFile} {
		data, err := os.ReadFile(filepath.Join(folder, name))
		is.NoErr(err)
		is.True(bytes.HasPrefix(data, []byte("\x89PNG")))
	}
}
