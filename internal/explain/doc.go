// Package explain reads the logs of one or more instances and reports which requests
// were refused, when, where and why, together with the state changes that the
// instances logged at that time. Without it, operators would have to correlate the
// logs of all instances by hand.
package explain
