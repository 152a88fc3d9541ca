package keys

import "bergamotstall/internal/settings"

// Settings name the files of a process's identity in its YAML settings, PEM.
type Settings struct {
	// Authority is the certificate of the authority that peers must come from.
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Absent tells that no identity was set: connections are then plain, for trials
// on one machine only.
func (s Settings) Absent() bool { return s == Settings{} }

// Check reports files that can't be read; path is the field that holds s.
func (s Settings) Check(c *settings.Checker, path string) {
	if s.Absent() {
		return
	}
	c.File(path+".authority", s.Authority)
	c.File(path+".certificate", s.Certificate)
	c.File(path+".key", s.Key)
}

// Files returns the paths as Load takes them.
func (s Settings) Files() Files {
	return Files(s)
}
