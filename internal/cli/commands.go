package cli

import "github.com/jessevdk/go-flags"

// command describes one command for the parser.
type command struct {
	name, short, example string
	data                 any
}

// addCommands adds every command to the parser.
func (a *app) addCommands(p *flags.Parser) {
	commands := []command{
		{"serve", "run an entry instance", "topazrock serve --settings /etc/topazrock.ini", &serveCommand{app: a}},
		{"check", "check settings or a service document", "topazrock check examples/base-ligacoes.ini", &checkCommand{app: a}},
		{"apply", "store a service document", "topazrock apply --wait base-ligacoes.ini", &applyCommand{app: a}},
		{"get", "print a service document", "topazrock get base-ligacoes > base-ligacoes.ini", &getCommand{app: a}},
		{"list", "list the documents in force on the instance", "topazrock list --output json", &listCommand{app: a}},
		{"history", "list the changes of a document", "topazrock history base-ligacoes", &historyCommand{app: a}},
		{"versions", "list what version each instance has in force", "topazrock versions base-ligacoes", &versionsCommand{app: a}},
		{"status", "show groups, pools, peers and readiness", "topazrock status --api 10.0.0.1:6434", &statusCommand{app: a}},
		{"drain", "begin the graceful shutdown of the instance", "topazrock drain --api 10.0.0.1:6434 --token-file token", &drainCommand{app: a}},
		{"explain", "say what logs show was refused, and why", "topazrock explain --group orders-1 instance-*.log", &explainCommand{app: a}},
		{"verifier", "make a password verifier for a document", "topazrock verifier < password.txt", &verifierCommand{app: a}},
		{"codes", "print the page of result codes", "topazrock codes > docs/RESULT-CODES.md", &codesCommand{app: a}},
		{"version", "print the version of the program", "topazrock version", &versionCommand{app: a}},
	}
	for _, c := range commands {
		long := upperFirst(c.short) + ".\n\nExample: " + c.example
		if _, err := p.AddCommand(c.name, c.short, long, c.data); err != nil {
			panic(err) // malformed struct tag; any test that runs a command detects it
		}
	}
}

// upperFirst capitalizes the first letter of s, which must be a lower-case ASCII
// letter.
func upperFirst(s string) string { return string(s[0]-'a'+'A') + s[1:] }
