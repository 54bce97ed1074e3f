package cli

import (
	"io"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/topazrock/topazrock/internal/explain"
)

// logFiles holds the names of the log files to read.
type logFiles struct {
	Files []string `positional-arg-name:"FILE" description:"log files of one or more instances; standard input if none"`
}

// explainCommand reports which requests were refused, and why, from logs.
type explainCommand struct {
	app      *app
	Group    string        `long:"group" description:"only this group" value-name:"NAME"`
	Instance string        `long:"instance" description:"only lines of this instance" value-name:"ID"`
	Code     string        `long:"code" description:"only refusals with this result code" value-name:"CODE"`
	Request  string        `long:"request" description:"only refusals of this request" value-name:"ID"`
	From     time.Duration `long:"from" description:"only from this time of the logs on" value-name:"TIME"`
	To       time.Duration `long:"to" description:"only up to this time" value-name:"TIME"`
	Detail   bool          `long:"detail" description:"each second's refusals and beliefs in place of the first page"`
	Args     logFiles      `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	streams := []io.Reader{c.app.env.Stdin}
	if len(c.Args.Files) > 0 {
		streams = nil
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return oops.In("cli").Wrapf(err, "open the log")
		}
		defer f.Close()
		streams = append(streams, f)
	}
	filter := explain.Filter{Group: c.Group, Instance: c.Instance, Code: c.Code, Request: c.Request, From: c.From, To: c.To}
	report, err := explain.Read(filter, streams...)
	if err != nil {
		return oops.In("cli").Wrapf(err, "read the logs")
	}
	if c.app.options.Output == "json" {
		return c.app.printData(report, nil)
	}
	if c.Detail {
		return report.WriteText(c.app.env.Stdout)
	}
	return report.WriteSummary(c.app.env.Stdout)
}
