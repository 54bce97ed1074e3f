package frontend

import "strings"

// Delimiters of a comment in SQL.
const (
	commentStart = "/*"
	commentEnd   = "*/"
)

// firstWord returns the first word of an SQL text in lower case, after leading
// comments and white space. It is a hint that saves round trips; correctness does
// not depend on it.
func firstWord(sql string) string {
	sql = skipComments(sql)
	end := strings.IndexFunc(sql, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(sql)
	}
	return strings.ToLower(sql[:end])
}

func skipComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n")
		comment, ok := strings.CutPrefix(sql, commentStart)
		if !ok {
			return sql
		}
		_, rest, ended := strings.Cut(comment, commentEnd)
		if !ended {
			return sql
		}
		sql = rest
	}
}

func hintBeginsTransaction(sql string) bool {
	w := firstWord(sql)
	return (w == "begin" || w == "start") && !mayHaveSeveralStatements(sql)
}

// hintEndsTransaction excludes ROLLBACK TO SAVEPOINT, which does not end a transaction.
func hintEndsTransaction(sql string) bool {
	switch firstWord(sql) {
	case "commit", "end", "abort":
		return true
	case "rollback":
		return !strings.Contains(strings.ToLower(sql), " to ")
	}
	return false
}

// mayHaveSeveralStatements reports whether another statement may follow the first one.
func mayHaveSeveralStatements(sql string) bool {
	i := strings.IndexByte(sql, ';')
	return i >= 0 && strings.TrimSpace(sql[i+1:]) != ""
}

// TokenParameter is the parameter name of the session token, in the ParameterStatus
// sent to the caller and in the caller's start-up parameters and SET statements.
const TokenParameter = "topazrock.token"

// parseTokenSetting returns the token of SET topazrock.token = '...' (or TO).
func parseTokenSetting(sql string) (string, bool) {
	text := strings.TrimRight(skipComments(sql), "; \t\r\n")
	fields := strings.Fields(strings.Replace(text, "=", " = ", 1))
	if len(fields) != 4 || !strings.EqualFold(fields[0], "set") || !strings.EqualFold(fields[1], TokenParameter) {
		return "", false
	}
	if fields[2] != "=" && !strings.EqualFold(fields[2], "to") {
		return "", false
	}
	return strings.Trim(fields[3], "'"), true
}
