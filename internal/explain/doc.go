// Package explain reads the log lines of instances and says what was refused, when,
// where and why, beside what instances came to believe in the same time. It is what
// an operator would put together by hand from the lines of all instances.
package explain
