// Package build reports the version of the running program.
package build

import "runtime/debug"

// revisionLength is the number of characters to which a revision is shortened.
const revisionLength = 12

// Version returns the module version. For a build from a checkout it returns the
// shortened revision, with a plus sign if the checkout had uncommitted changes.
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

// revision returns the revision recorded in the build settings, or "devel" if
// there is none.
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
