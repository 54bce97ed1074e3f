// Package features decides which optional mechanisms of an instance are in use.
//
// Each feature has a mode in the settings. Mode auto enables a feature once one of the conditions
// that it answers holds for the deployment: what its operator declared, or what its configuration
// and its lists of instances and members show. A condition that held once keeps holding for the
// life of the process, so that an outage that shortens a list does not switch a mechanism off in
// the middle of a failure.
//
// Set needs no lock: modes never change and conditions are atomic flags.
package features
