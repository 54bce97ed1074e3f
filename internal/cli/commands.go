package cli

import "github.com/jessevdk/go-flags"

// command is one entry of the command list.
type command struct {
	name, short, example string
	data                 any
}

// addCommands adds every command to the parser.
func (r *root) addCommands(p *flags.Parser) {
	commands := []command{
		{"serve", "run an entry instance", "topazrock serve --settings /etc/topazrock.ini", &serveCommand{root: r}},
		{"check", "check settings or a service document", "topazrock check examples/base-ligacoes.ini", &checkCommand{root: r}},
		{"apply", "store a service document", "topazrock apply --wait base-ligacoes.ini", &applyCommand{root: r}},
		{"get", "print a service document", "topazrock get base-ligacoes > base-ligacoes.ini", &getCommand{root: r}},
		{"list", "list the documents in force on the instance", "topazrock list --output json", &listCommand{root: r}},
		{"history", "list the changes of a document", "topazrock history base-ligacoes", &historyCommand{root: r}},
		{"versions", "list what version each instance has in force", "topazrock versions base-ligacoes", &versionsCommand{root: r}},
		{"status", "show groups, pools, peers and readiness", "topazrock status --api 10.0.0.1:6434", &statusCommand{root: r}},
		{"drain", "begin the graceful shutdown of the instance", "topazrock drain --api 10.0.0.1:6434 --token-file token", &drainCommand{root: r}},
		{"explain", "say what logs show was refused, and why", "topazrock explain --group orders-1 instance-*.log", &explainCommand{root: r}},
		{"verifier", "make a password verifier for a document", "topazrock verifier < password.txt", &verifierCommand{root: r}},
		{"codes", "print the page of result codes", "topazrock codes > docs/RESULT-CODES.md", &codesCommand{root: r}},
		{"version", "print the version of the program", "topazrock version", &versionCommand{root: r}},
	}
	for _, c := range commands {
		long := upperFirst(c.short) + ".\n\nExample: " + c.example
		if _, err := p.AddCommand(c.name, c.short, long, c.data); err != nil {
			panic(err) // a malformed tag: found by any test that runs a command
		}
	}
}

// upperFirst makes the first letter of an ASCII text a capital.
func upperFirst(s string) string { return string(s[0]-'a'+'A') + s[1:] }
