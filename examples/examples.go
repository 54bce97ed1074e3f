// Package examples embeds the service documents that ship with the project.
package examples

import _ "embed"

// BaseLigacoes is the service document of base-ligacoes.
//
//go:embed base-ligacoes.ini
var BaseLigacoes string

// SubsCore is the service document of subs-core.
//
//go:embed subs-core.ini
var SubsCore string
