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

// options are those of every command that calls the API.
type options struct {
	API       string        `long:"api" env:"TOPAZROCK_API" default:"127.0.0.1:6434" description:"address of an instance's administration API" value-name:"HOST:PORT"`
	TokenFile string        `long:"token-file" env:"TOPAZROCK_TOKEN_FILE" description:"file that holds the access token" value-name:"FILE"`
	Operator  string        `long:"operator" env:"TOPAZROCK_OPERATOR" description:"author that the history shows (default: the account's name)" value-name:"NAME"`
	Output    string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of printed data"`
	Timeout   time.Duration `long:"timeout" default:"40s" description:"time limit of one call" value-name:"TIME"`
}

// root is what the commands share.
type root struct {
	ctx     context.Context
	env     Environment
	options options
}

// client returns a client for the instance that the options name.
func (r *root) client() (*adminclient.Client, error) {
	token := ""
	if r.options.TokenFile != "" {
		text, err := os.ReadFile(r.options.TokenFile)
		if err != nil {
			return nil, oops.In("cli").Wrapf(err, "read the access token")
		}
		token = strings.TrimSpace(string(text))
	}
	operator := cmp.Or(r.options.Operator, r.env.User)
	return adminclient.New(r.options.API, token, operator), nil
}

// call gives do a client and a context that ends with the time limit.
func (r *root) call(do func(context.Context, *adminclient.Client) error) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.options.Timeout)
	defer cancel()
	return do(ctx, client)
}

// print writes data as JSON, or calls text with a writer that aligns columns
// separated by tabs.
func (r *root) print(data any, text func(w *tabwriter.Writer)) error {
	if r.options.Output == "json" {
		encoder := json.NewEncoder(r.env.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(data)
	}
	w := tabwriter.NewWriter(r.env.Stdout, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// line writes cells separated by tabs.
func line(w *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
