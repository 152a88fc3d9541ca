package control

import (
	"net"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/operator"
	"github.com/sirupsen/logrus"
)

// Guards against commands from clients without an operator's certificate, and against an
// operator who acts under another name. The control VMs use TLS among themselves too.
func TestOnlyOperatorCertificatesAreAdmitted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	folder, foreign := t.TempDir(), t.TempDir()
	is.NoErr(keys.Init(folder))
	is.NoErr(keys.Init(foreign))
	c := newCluster(t, 3)
	for _, v := range c.vms {
		host, _, _ := net.SplitHostPort(v.settings.Operators)
		files, err := keys.Issue(folder, keys.Control, v.settings.Name, net.ParseIP(host))
		is.NoErr(err)
		v.settings.TLS = keys.Settings(files)
	}
	c.start()

	ama := clientWithRole(t, c, folder, keys.Operator, "ama")
	ama.Operator = "somebody else"
	out, err := ama.Command(t.Context(), applyCommand("ama-1"))
	is.NoErr(err)
	view, err := ama.Read(t.Context(), operator.PartAudit)
	is.NoErr(err)
	is.Equal(view.Records[len(view.Records)-1].Who, "ama") // the certificate's name, not the claimed one

	for _, bad := range []*operator.Client{
		clientWithRole(t, c, folder, keys.Agent, "casework-1"),
		clientWithRole(t, c, folder, keys.Control, "control-1"),
		clientOfOtherAuthority(t, c, folder, foreign),
	} {
		_, err := bad.Command(t.Context(), switchTo("peak", "bad-1", 0))
		var failure *operator.Failure
		is.True(errors.As(err, &failure))
		is.Equal(failure.Code, operator.Denied)
	}
	view, err = ama.Read(t.Context(), operator.PartSummary)
	is.NoErr(err)
	is.Equal(view.Version, out.Version)
}

// clientWithRole returns a client with a new certificate of the folder's authority.
func clientWithRole(t *testing.T, c *cluster, folder string, role keys.Role, name string) *operator.Client {
	t.Helper()
	files, err := keys.Issue(folder, role, name)
	if err != nil {
		t.Fatal(err)
	}
	return clientWithFiles(t, c, files)
}

// clientOfOtherAuthority returns a client that trusts the cluster's authority but has a
// certificate of another.
func clientOfOtherAuthority(t *testing.T, c *cluster, folder, foreign string) *operator.Client {
	t.Helper()
	files, err := keys.Issue(foreign, keys.Operator, "ama")
	if err != nil {
		t.Fatal(err)
	}
	store, err := keys.Load(files, logrus.StandardLogger(), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	trusting := clientWithRole(t, c, folder, keys.Operator, "kofi")
	trusting.TLS.GetClientCertificate = store.Client(keys.Control).GetClientCertificate
	return trusting
}

func clientWithFiles(t *testing.T, c *cluster, files keys.Files) *operator.Client {
	t.Helper()
	store, err := keys.Load(files, logrus.StandardLogger(), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	out := client(c.vms...)
	out.TLS = store.Client(keys.Control)
	return out
}
