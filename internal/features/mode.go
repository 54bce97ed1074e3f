package features

// Mode is the setting of a feature.
type Mode string

// Modes.
const (
	ModeAuto Mode = "auto"
	ModeOn   Mode = "on"
	ModeOff  Mode = "off"
)

// Modes holds the mode of each feature. A feature that is missing has ModeAuto.
type Modes map[Feature]Mode
