// Command bench runs the project's benchmarks, writes the results with a description of
// the machine, and compares them with the results of an earlier run. CI doesn't run it:
// CI checks counts, allocations and ratios, in tests.
//
//	GOWORK=off go -C tools run ./bench -out FILE [-against EARLIER] [-packages ./...]
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// markThreshold is the relative change above which a row is marked with "!".
const markThreshold = 0.20

func main() {
	out := flag.String("out", "", "`file` for the results, in Go's benchmark format")
	against := flag.String("against", "", "`file` of an earlier run to compare with")
	packages := flag.String("packages", "./...", "`packages` to benchmark")
	flag.Parse()
	if *out == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(*out, *against, *packages); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(out, against, packages string) error {
	text, err := runBenchmarks(packages)
	if err != nil {
		return err
	}
	if err := os.WriteFile(out, text, 0o644); err != nil {
		return err
	}
	now, err := parseResults(bytes.NewReader(text), out)
	if err != nil {
		return err
	}
	var before []measurement
	if against != "" {
		file, err := os.Open(against)
		if err != nil {
			return err
		}
		defer file.Close()
		if before, err = parseResults(file, against); err != nil {
			return err
		}
	}
	writeTable(os.Stdout, now, before)
	return nil
}

// runBenchmarks runs the benchmarks in the root of the repository and returns their
// output after a line that describes the machine.
func runBenchmarks(packages string) ([]byte, error) {
	root, err := filepath.Abs("..")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("go", "test", "-run", "^$", "-bench", ".", "-benchmem", packages)
	cmd.Dir, cmd.Stderr = root, os.Stderr
	cmd.Env = append(os.Environ(), "GOWORK=off")
	text, err := cmd.Output()
	machineLine := fmt.Sprintf("machine: %s/%s %d processors %s\n", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	return append([]byte(machineLine), text...), err
}

// measurement is one value of a benchmark, such as its ns/op.
type measurement struct {
	name  string
	unit  string
	value float64
}

func parseResults(r io.Reader, name string) ([]measurement, error) {
	var out []measurement
	in := benchfmt.NewReader(r, name)
	for in.Scan() {
		result, ok := in.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		pkg := strings.TrimPrefix(result.GetConfig("pkg"), "bergamotstall/")
		for _, v := range result.Values {
			out = append(out, measurement{name: pkg + " " + result.Name.String(), unit: v.Unit, value: v.Value})
		}
	}
	return out, in.Err()
}

func writeTable(w io.Writer, now, before []measurement) {
	fmt.Fprintf(w, "machine: %s/%s, %d processors, %s\n\n", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	fmt.Fprintln(w, "| benchmark | unit | value | earlier | change |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, m := range now {
		i := slices.IndexFunc(before, func(x measurement) bool { return x.name == m.name && x.unit == m.unit })
		if i < 0 {
			fmt.Fprintf(w, "| %s | %s | %.4g | | |\n", m.name, m.unit, m.value)
			continue
		}
		fmt.Fprintf(w, "| %s | %s | %.4g | %.4g | %s |\n", m.name, m.unit, m.value, before[i].value, change(before[i].value, m.value))
	}
}

func change(before, now float64) string {
	if before == 0 {
		return ""
	}
	relative := now/before - 1
	mark := ""
	if relative > markThreshold || relative < -markThreshold {
		mark = " !"
	}
	return fmt.Sprintf("%+.0f%%%s", 100*relative, mark)
}
