// Package examples embeds the configurations of the two deployments that the project was
// first built for. Tests and the demo load them.
package examples

import "embed"

// Files has a folder for each deployment, with base.toml and an overlay for
// each availability zone.
//
//go:embed robes splints
var Files embed.FS
