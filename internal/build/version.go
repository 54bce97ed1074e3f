// Package build tells which build of the program runs.
package build

import "runtime/debug"

// revisionLength is how many characters of a revision are shown.
const revisionLength = 12

// Version returns the module's version, or its revision for a build from a
// checkout, with a plus sign when the checkout had changes.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	return revision(info.Settings)
}

// revision reads the revision from the build's settings.
func revision(settings []debug.BuildSetting) string {
	v, changed := "devel", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			v = s.Value[:min(revisionLength, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return v + changed
}
