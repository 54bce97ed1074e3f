package quota

import "github.com/cespare/xxhash/v2"

// shardCount is the number of shards that the workspaces are divided into. A failure domain has
// far fewer limiters, each with several shards, so that the load is even across limiters.
const shardCount = 64

// shardOf returns the shard of a workspace.
func shardOf(workspace string) int { return int(xxhash.Sum64String(workspace) % shardCount) }
