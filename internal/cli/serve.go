package cli

import (
	"errors"

	"github.com/samber/oops"
)

// serveCommand runs an entry instance.
type serveCommand struct {
	app      *app
	Settings string `long:"settings" short:"s" required:"true" env:"TOPAZROCK_NODE_FILE" description:"settings file" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if c.app.env.Serve == nil {
		return errors.New("this build cannot serve")
	}
	err := c.app.env.Serve(c.app.ctx, c.Settings)
	return oops.In("serve").Wrap(err)
}
