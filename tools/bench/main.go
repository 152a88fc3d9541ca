// Command bench runs the project's timed benchmarks, writes their figures with
// the machine's name, and compares them with those of an earlier run. CI runs
// none of it: its bounds are counts, allocations and ratios inside tests.
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

// noteworthy is the change from which a row is marked.
const noteworthy = 0.20

func main() {
	out := flag.String("out", "", "`file` for the figures, in Go's benchmark format")
	against := flag.String("against", "", "earlier run's `file` to compare with")
	packages := flag.String("packages", "./...", "`packages` of the product to measure")
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
	text, err := measure(packages)
	if err != nil {
		return err
	}
	if err := os.WriteFile(out, text, 0o644); err != nil {
		return err
	}
	now, err := read(bytes.NewReader(text), out)
	if err != nil {
		return err
	}
	var before []figure
	if against != "" {
		file, err := os.Open(against)
		if err != nil {
			return err
		}
		defer file.Close()
		if before, err = read(file, against); err != nil {
			return err
		}
	}
	write(os.Stdout, now, before)
	return nil
}

// measure runs the benchmarks from the root of the repository.
func measure(packages string) ([]byte, error) {
	root, err := filepath.Abs("..")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("go", "test", "-run", "^$", "-bench", ".", "-benchmem", packages)
	cmd.Dir, cmd.Stderr = root, os.Stderr
	cmd.Env = append(os.Environ(), "GOWORK=off")
	text, err := cmd.Output()
	head := fmt.Sprintf("machine: %s/%s %d processors %s\n", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	return append([]byte(head), text...), err
}

// figure is one value of one benchmark.
type figure struct {
	name  string
	unit  string
	value float64
}

func read(r io.Reader, name string) ([]figure, error) {
	var out []figure
	in := benchfmt.NewReader(r, name)
	for in.Scan() {
		result, ok := in.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		pkg := strings.TrimPrefix(result.GetConfig("pkg"), "bergamotstall/")
		for _, v := range result.Values {
			out = append(out, figure{name: pkg + " " + result.Name.String(), unit: v.Unit, value: v.Value})
		}
	}
	return out, in.Err()
}

func write(w io.Writer, now, before []figure) {
	fmt.Fprintf(w, "machine: %s/%s, %d processors, %s\n\n", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	fmt.Fprintln(w, "| benchmark | unit | value | earlier | change |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, f := range now {
		i := slices.IndexFunc(before, func(x figure) bool { return x.name == f.name && x.unit == f.unit })
		if i < 0 {
			fmt.Fprintf(w, "| %s | %s | %.4g | | |\n", f.name, f.unit, f.value)
			continue
		}
		fmt.Fprintf(w, "| %s | %s | %.4g | %.4g | %s |\n", f.name, f.unit, f.value, before[i].value, change(before[i].value, f.value))
	}
}

func change(before, now float64) string {
	if before == 0 {
		return ""
	}
	part := now/before - 1
	mark := ""
	if part > noteworthy || part < -noteworthy {
		mark = " !"
	}
	return fmt.Sprintf("%+.0f%%%s", 100*part, mark)
}
