// Package examples embeds the fleet files of the two example deployments, for the scenarios of package replay.
package examples

import "embed"

// Files contains the fleet files, for example "ruheraum/fleet.jsonc".
//
//go:embed */fleet.jsonc
var Files embed.FS
