package keys

import "bergamotstall/internal/settings"

// Settings holds the paths of a process's certificate files, PEM, in its YAML settings.
type Settings struct {
	// Authority is the certificate of the authority that must have signed the peers'
	// certificates.
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Absent reports whether no files are set. Connections are then unencrypted, which is for
// trials on one machine only.
func (s Settings) Absent() bool { return s == Settings{} }

// Check reports files that can't be read. path is the settings field that holds s.
func (s Settings) Check(c *settings.Checker, path string) {
	if s.Absent() {
		return
	}
	c.File(path+".authority", s.Authority)
	c.File(path+".certificate", s.Certificate)
	c.File(path+".key", s.Key)
}

// Files returns the paths for Load.
func (s Settings) Files() Files {
	return Files(s)
}
