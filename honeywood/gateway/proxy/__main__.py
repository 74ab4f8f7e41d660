from honeywood.system.lean import run

run("honeywood.gateway.proxy.program", "Stall")
