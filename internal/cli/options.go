package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"

	"github.com/topazrock/topazrock/internal/adminclient"
)

// options holds the options of all commands that call the API.
type options struct {
	API       string        `long:"api" env:"TOPAZROCK_API" default:"127.0.0.1:6434" description:"address of an instance's administration API" value-name:"HOST:PORT"`
	TokenFile string        `long:"token-file" env:"TOPAZROCK_TOKEN_FILE" description:"file that holds the access token" value-name:"FILE"`
	Operator  string        `long:"operator" env:"TOPAZROCK_OPERATOR" description:"author that the history shows (default: the account's name)" value-name:"NAME"`
	Output    string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of printed data"`
	Timeout   time.Duration `long:"timeout" default:"40s" description:"time limit of one call" value-name:"TIME"`
}

// app holds the state that all commands share.
type app struct {
	ctx     context.Context
	env     Environment
	options options
}

// client returns a client for the instance given in the options.
func (a *app) client() (*adminclient.Client, error) {
	token := ""
	if a.options.TokenFile != "" {
		text, err := os.ReadFile(a.options.TokenFile)
		if err != nil {
			return nil, oops.In("cli").Wrapf(err, "read the access token")
		}
		token = strings.TrimSpace(string(text))
	}
	operator := cmp.Or(a.options.Operator, a.env.User)
	return adminclient.New(a.options.API, token, operator), nil
}

// callAPI runs request with a client and a context that has the time limit of one
// call.
func (a *app) callAPI(request func(context.Context, *adminclient.Client) error) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(a.ctx, a.options.Timeout)
	defer cancel()
	return request(ctx, client)
}

// printData writes data as JSON, or calls text with a writer that aligns
// tab-separated columns, depending on the output option.
func (a *app) printData(data any, text func(w *tabwriter.Writer)) error {
	if a.options.Output == "json" {
		encoder := json.NewEncoder(a.env.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(data)
	}
	w := tabwriter.NewWriter(a.env.Stdout, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// writeRow writes one row of tab-separated cells.
func writeRow(w *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
