from honeywood.system.lean import run

run("honeywood.system.stall.program", "Stall")
