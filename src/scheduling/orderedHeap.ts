/** A binary heap that also removes and reorders arbitrary items. Every change takes O(log n). */
export interface OrderedHeap<Item> {
    getSize(): number;
    getFirst(): Item | undefined;
    has(item: Item): boolean;
    enqueue(item: Item): void;
    /** Removes an item. Returns whether it was in the heap. */
    remove(item: Item): boolean;
    /** Restores the heap order after the item's key has changed. */
    update(item: Item): void;
    list(): readonly Item[];
}

/**
 * Creates a heap whose first item is the smallest by `compare`.
 *
 * @example
 * const heap = createOrderedHeap<number>((left, right) => left - right);
 */
export function createOrderedHeap<Item>(compare: (left: Item, right: Item) => number): OrderedHeap<Item> {
    const items: Item[] = [];
    const indexes = new Map<Item, number>();

    function assign(index: number, item: Item) {
        items[index] = item;
        indexes.set(item, index);
    }

    function advanceUp(start: number): number {
        const item = items[start]!;
        let index = start;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (compare(item, items[parent]!) >= 0) {
                break;
            }
            assign(index, items[parent]!);
            index = parent;
        }
        assign(index, item);
        return index;
    }

    function advanceDown(start: number) {
        const item = items[start]!;
        let index = start;
        for (;;) {
            let child = 2 * index + 1;
            if (child >= items.length) {
                break;
            }
            if (child + 1 < items.length && compare(items[child + 1]!, items[child]!) < 0) {
                child++;
            }
            if (compare(items[child]!, item) >= 0) {
                break;
            }
            assign(index, items[child]!);
            index = child;
        }
        assign(index, item);
    }

    return {
        getSize: () => items.length,
        getFirst: () => items[0],
        has: item => indexes.has(item),
        enqueue(item) {
            items.push(item);
            advanceUp(items.length - 1);
        },
        remove(item) {
            const index = indexes.get(item);
            if (index === undefined) {
                return false;
            }
            indexes.delete(item);
            const last = items.pop()!;
            if (last !== item) {
                assign(index, last);
                advanceDown(advanceUp(index));
            }
            return true;
        },
        update(item) {
            const index = indexes.get(item);
            if (index !== undefined) {
                advanceDown(advanceUp(index));
            }
        },
        list: () => items,
    };
}
