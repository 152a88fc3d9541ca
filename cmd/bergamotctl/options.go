package main

import (
	"flag"
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/settings"
)

// defaultTimeout is the default of -timeout, which limits a command as a whole, over all
// control addresses.
const defaultTimeout = 30 * time.Second

// toolSettings is the content of the tool's optional YAML file.
type toolSettings struct {
	// Control are the operator addresses of the control VMs, "ip:port".
	Control []string      `yaml:"control"`
	TLS     keys.Settings `yaml:"tls"`
}

// Problems implements settings.Validator.
func (s *toolSettings) Problems() []settings.Problem {
	var c settings.Checker
	if len(s.Control) == 0 {
		c.Add("control", "missing", "at least one ip:port; set it in the file or with -control")
	}
	for i, a := range s.Control {
		c.Address(fmt.Sprintf("control[%d]", i), a)
	}
	s.TLS.Check(&c, "tls")
	return c.Problems()
}

// options are the flags of the commands that contact control VMs, the arguments and the
// client that parse sets up.
type options struct {
	flags    *flag.FlagSet
	file     string
	control  string
	tlsFiles keys.Settings
	operator string
	json     bool
	timeout  time.Duration
	client   *operator.Client
	args     []string
}

// newOptions declares the common flags. The command adds its own flags, then calls parse.
func (c *invocation) newOptions() *options {
	o := &options{flags: flag.NewFlagSet("bergamotctl "+c.command.name, flag.ContinueOnError)}
	o.flags.SetOutput(c.errOut)
	o.flags.StringVar(&o.file, "settings", "", "YAML `file` with control addresses and TLS files")
	o.flags.StringVar(&o.control, "control", "", "operator `addresses` of the control VMs, ip:port,ip:port")
	o.flags.StringVar(&o.tlsFiles.Authority, "tls-authority", "", "`file` of the certificate authority")
	o.flags.StringVar(&o.tlsFiles.Certificate, "tls-certificate", "", "`file` of the operator's certificate")
	o.flags.StringVar(&o.tlsFiles.Key, "tls-key", "", "`file` of the operator's key")
	o.flags.StringVar(&o.operator, "operator", userName(), "operator's `name` where control runs without TLS")
	o.flags.BoolVar(&o.json, "json", false, "print JSON")
	o.flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "give up after this `time`")
	o.flags.Usage = func() {
		fmt.Fprintf(c.errOut, "usage: bergamotctl %s %s [flags]\n%s\n\nflags:\n", c.command.name, c.command.args, c.command.help)
		o.flags.PrintDefaults()
	}
	return o
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// parse parses flags and arguments in any order, as in "switch peak -wait 5s", and sets up
// the client. If the command ends here, because of -h, wrong usage or invalid settings,
// done is true and code is the exit code.
func (o *options) parse(c *invocation, argCount int) (code int, done bool) {
	if err := o.parseInterspersed(c.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK, true
		}
		return exitUsage, true
	}
	if len(o.args) != argCount {
		fmt.Fprintf(c.errOut, "bergamotctl %s: %d arguments, expected %d\n", c.command.name, len(o.args), argCount)
		o.flags.Usage()
		return exitUsage, true
	}
	if err := o.setUpClient(); err != nil {
		fmt.Fprintln(c.errOut, err)
		return exitUsage, true
	}
	return exitOK, false
}

// parseInterspersed parses flags before, between and after the arguments. Package flag by
// itself stops at the first argument.
func (o *options) parseInterspersed(args []string) error {
	for {
		if err := o.flags.Parse(args); err != nil {
			return err
		}
		if o.flags.NArg() == 0 {
			return nil
		}
		o.args = append(o.args, o.flags.Arg(0))
		args = o.flags.Args()[1:]
	}
}

// setUpClient creates the client from the settings file and the flags. Flags take
// precedence over the file.
func (o *options) setUpClient() error {
	var s toolSettings
	if o.control != "" {
		s.Control = strings.Split(o.control, ",")
	}
	s.TLS = o.tlsFiles
	switch {
	case o.file != "":
		var f toolSettings
		if err := settings.Load(o.file, &f); err != nil {
			return err
		}
		if s.Control == nil {
			s.Control = f.Control
		}
		if s.TLS.Absent() {
			s.TLS = f.TLS
		}
	default:
		if problems := s.Problems(); len(problems) > 0 {
			p := problems[0]
			return errors.Errorf("%s: %s (allowed: %s)", p.Path, p.What, p.Allowed)
		}
	}
	o.client = &operator.Client{Addresses: s.Control, Operator: o.operator}
	if s.TLS.Absent() {
		return nil
	}
	store, err := keys.Load(s.TLS.Files(), logrus.StandardLogger(), metrics.New())
	if err != nil {
		return err
	}
	o.client.TLS = store.Client(keys.Control)
	return nil
}
