package quota

import "github.com/cespare/xxhash/v2"

// shardCount is how many shards the workspaces are divided into. A failure domain has far
// fewer limiters, each with some shards, so that the limiters share the load evenly.
const shardCount = 64

// shardOf is the shard of a workspace.
func shardOf(workspace string) int { return int(xxhash.Sum64String(workspace) % shardCount) }
